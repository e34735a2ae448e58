package call

import "sync/atomic"

// completedSetSize is the size of an answeredSet; a power of two.
const completedSetSize = 4096

// completedSet remembers fingerprints of answered calls. Newer ones overwrite
// older ones at the same place, so it is bounded and may forget.
type completedSet struct {
	entries [completedSetSize]atomic.Uint64
}

func (s *completedSet) add(fingerprint uint64) {
	entry := &s.entries[fingerprint%completedSetSize]
	if entry.Load() != fingerprint {
		entry.Store(fingerprint)
	}
}

func (s *completedSet) has(fingerprint uint64) bool {
	return s.entries[fingerprint%completedSetSize].Load() == fingerprint
}
