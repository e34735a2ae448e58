package call

import "sync/atomic"

// completedSetSize is the number of entries in a completedSet. It is a power of
// two.
const completedSetSize = 4096

// completedSet stores the fingerprints of calls whose response was complete. An
// entry is overwritten by the next fingerprint with the same index, so the set
// has a fixed size and may forget calls.
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
