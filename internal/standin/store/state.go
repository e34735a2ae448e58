// Package store is a stand-in for the platform's key-value store. It implements the
// store's published protocol and injects faults on request.
//
// It holds all keys and leases in memory. It is used in tests only and is not
// shipped.
package store

import (
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// maxHistory is the maximum number of changes retained for watches.
const maxHistory = 256

// errPrecondition is returned if a precondition of a transaction does not hold.
var errPrecondition = errors.New("a precondition does not hold")

// State holds the keys and leases. It is safe for concurrent use.
type State struct {
	now func() time.Time

	mu sync.Mutex
	// changed is closed and replaced on every write and compaction.
	changed  chan struct{}
	revision uint64
	items    map[string]item
	// previous holds the item before the latest write of each key, for stale reads.
	previous map[string]item
	leases   map[uint64]lease
	history  []item
	// compactedRevision is the latest revision that was dropped from the history.
	compactedRevision uint64
	// era counts the restores.
	era uint64
}

// NewState returns an empty state that expires leases according to the given clock.
func NewState(now func() time.Time) *State {
	return &State{
		now: now, changed: make(chan struct{}), revision: 1, era: firstEra,
		items: make(map[string]item), previous: make(map[string]item), leases: make(map[uint64]lease),
	}
}

// Get returns the value of a key. Its revision is 0 if the key does not exist.
func (s *State) Get(key string) store.Value {
	current, _, _ := s.read(key, false)
	return store.Value{Data: current.Value, Revision: store.Revision(current.Revision)}
}

// read returns an item, or with stale the one before its latest write, and the revision
// of the store. It returns false if the item does not exist.
func (s *State) read(key string, stale bool) (item, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if stale {
		previous, exists := s.previous[key]
		return previous, s.revision, exists
	}
	current, exists := s.items[key]
	return current, s.revision, exists
}

// list returns the items whose key has the prefix and sorts after a key, in order, and
// the revision of the store.
func (s *State) list(prefix, after string) ([]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var matches []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			matches = append(matches, i)
		}
	}
	sort.Slice(matches, func(a, b int) bool { return matches[a].Key < matches[b].Key })
	return matches, s.revision
}

// changesAfter returns the changes under a prefix after a revision, the revision of the
// store and a channel that is closed on the next change. compacted is true if the
// history no longer holds all of these changes.
func (s *State) changesAfter(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.compactedRevision || after > s.revision {
		return nil, 0, nil, true
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, false
}

// CompareAndSwap writes data if the key is at the expected revision; otherwise it
// returns store.ErrConflict.
func (s *State) CompareAndSwap(key string, expected store.Revision, data []byte, id store.LeaseID) (store.Revision, error) {
	revision, _, err := s.apply(transaction{
		Precondition: []condition{{Key: key, Revision: uint64(expected)}},
		Puts:         []put{{Key: key, Value: data, Lease: uint64(id)}},
	})
	if errors.Is(err, errPrecondition) {
		err = store.ErrConflict
	}
	return store.Revision(revision), err
}

// apply executes a transaction and returns the revision of the store after it. If
// preconditions do not hold, it returns their current items and errPrecondition. Other
// errors are store.ErrLeaseExpired and store.ErrTooLarge.
func (s *State) apply(t transaction) (revision uint64, failed []item, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			failed = append(failed, s.items[c.Key])
		}
	}
	if len(failed) > 0 {
		return 0, failed, errPrecondition
	}
	for _, p := range t.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			return 0, nil, store.ErrLeaseExpired
		}
		if len(p.Value) > store.MaxValueBytes {
			return 0, nil, store.ErrTooLarge
		}
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Deletes {
		s.write(item{Key: key, Removed: true})
	}
	return s.revision, nil, nil
}

// Write writes a key unconditionally, as the platform's operators do.
func (s *State) Write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: value})
}

func (s *State) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.items[i.Key].Created
	if i.Created == 0 {
		i.Created = s.revision
	}
	if before, found := s.items[i.Key]; found {
		s.previous[i.Key] = before
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.compactedRevision = s.history[excess-1].Revision
		s.history = append([]item(nil), s.history[excess:]...)
	}
	s.notifyWatchers()
}

// notifyWatchers wakes the waiting watches. The caller holds mu.
func (s *State) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant creates a lease with the given TTL.
func (s *State) Grant(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, expiresAt: s.now().Add(ttl)}
	return store.LeaseID(s.revision)
}

// renew extends a lease and returns its TTL; false if it has ended.
func (s *State) renew(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, found := s.leases[id]
	if !found {
		return 0, false
	}
	l.expiresAt = s.now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, true
}

// revoke ends a lease and removes its keys; false if it had already ended.
func (s *State) revoke(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, found := s.leases[id]
	s.endLease(id)
	return found
}

// RevokeAll ends all leases and removes their keys.
func (s *State) RevokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Removed: true})
		}
	}
}

// expire ends the expired leases. The caller holds mu.
func (s *State) expire() {
	for id, l := range s.leases {
		if !s.now().Before(l.expiresAt) {
			s.endLease(id)
		}
	}
}

// Compact drops the history, so that watches from an older revision are rejected.
func (s *State) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Keys returns the size of the value in bytes by key.
func (s *State) Keys() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	sizes := make(map[string]int)
	for key, i := range s.items {
		sizes[key] = len(i.Value)
	}
	return sizes
}
