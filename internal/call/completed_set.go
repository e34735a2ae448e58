package call

import "sync/atomic"

// answeredSlots is the size of an answeredSet; a power of two.
const answeredSlots = 4096

// answeredSet remembers fingerprints of answered calls. Newer ones overwrite
// older ones at the same place, so it is bounded and may forget.
type answeredSet struct {
	slots [answeredSlots]atomic.Uint64
}

func (s *answeredSet) add(fingerprint uint64) {
	slot := &s.slots[fingerprint%answeredSlots]
	if slot.Load() != fingerprint {
		slot.Store(fingerprint)
	}
}

func (s *answeredSet) has(fingerprint uint64) bool {
	return s.slots[fingerprint%answeredSlots].Load() == fingerprint
}
