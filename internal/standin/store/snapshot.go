package store

import (
	"maps"
	"slices"
)

// firstEra is the era of a new store.
const firstEra = 1

// Snapshot is a copy of the keys, the leases and the history at a revision.
type Snapshot struct {
	revision          uint64
	items             map[string]item
	leases            map[uint64]lease
	history           []item
	compactedRevision uint64
}

// Snapshot returns a copy of the state.
func (s *State) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return Snapshot{
		revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases),
		history: slices.Clone(s.history), compactedRevision: s.compactedRevision,
	}
}

// Restore replaces the state by an earlier copy: what was written since is gone, and
// its revisions and lease numbers are given out again. The leases of the copy run for
// their full TTL from now on. Waiting watches are cut.
func (s *State) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compactedRevision = from.revision, from.compactedRevision
	s.items, s.leases, s.history = maps.Clone(from.items), maps.Clone(from.leases), slices.Clone(from.history)
	clear(s.previous)
	for id, l := range s.leases {
		l.expiresAt = s.now().Add(l.ttl)
		s.leases[id] = l
	}
	s.notifyWatchers()
}

// Era returns the number of the era, which rises by one with each restore.
func (s *State) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
