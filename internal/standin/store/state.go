// Package store is a stand-in for the platform's key-value store. It speaks the
// store's published protocol and fails on request.
//
// It owns all keys and leases, in memory. It is a test stand-in and is not
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

// maxHistory bounds the changes that are kept for watches.
const maxHistory = 256

// errConditions means that a precondition does not hold.
var errConditions = errors.New("a precondition does not hold")

// State holds the keys and leases. It is safe for concurrent use.
type State struct {
	now func() time.Time

	mu sync.Mutex
	// changed is closed at the next write.
	changed  chan struct{}
	revision uint64
	items    map[string]item
	// previous holds the values before the newest write of each key; the old-value
	// fault answers them.
	previous map[string]item
	leases   map[uint64]lease
	history  []item
	// kept is the revision from which the history is complete.
	kept uint64
}

// NewState returns an empty state that expires leases by the given clock.
func NewState(now func() time.Time) *State {
	return &State{
		now: now, changed: make(chan struct{}), revision: 1,
		items: make(map[string]item), previous: make(map[string]item), leases: make(map[uint64]lease),
	}
}

// Get returns a value; revision 0 when the key does not exist.
func (s *State) Get(key string) store.Value {
	found, _, _ := s.read(key, false)
	return store.Value{Data: found.Value, Revision: store.Revision(found.Revision)}
}

// read returns an item, or the one before its newest write, and the revision of the
// store; false when the key does not exist.
func (s *State) read(key string, old bool) (item, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if old {
		found, exists := s.previous[key]
		return found, s.revision, exists
	}
	found, exists := s.items[key]
	return found, s.revision, exists
}

// list returns the items under a prefix after a key, and the revision of the store.
func (s *State) list(prefix, after string) ([]item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return found, s.revision
}

// since returns the changes after a revision, and what tells of the next one.
func (s *State) since(prefix string, after uint64) (events []item, at uint64, changed <-chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if after < s.kept {
		return nil, 0, nil, true
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, false
}

// CompareAndSwap writes data when the key is at the expected revision.
func (s *State) CompareAndSwap(key string, expected store.Revision, data []byte, id store.LeaseID) (store.Revision, error) {
	revision, _, err := s.apply(transaction{
		Precondition: []condition{{Key: key, Revision: uint64(expected)}},
		Puts:         []put{{Key: key, Value: data, Lease: uint64(id)}},
	})
	if errors.Is(err, errConditions) {
		err = store.ErrConflict
	}
	return store.Revision(revision), err
}

// apply makes a change. It returns the items of the preconditions that don't hold.
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
		return 0, failed, errConditions
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

// Write writes a key as the operators do.
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
		s.kept = s.history[excess-1].Revision
		s.history = append([]item(nil), s.history[excess:]...)
	}
	s.wake()
}

// wake tells the watches that something changed.
func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Grant creates a lease.
func (s *State) Grant(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl: ttl, ends: s.now().Add(ttl)}
	return store.LeaseID(s.revision)
}

// keep renews a lease; false when it has ended.
func (s *State) keep(id uint64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, found := s.leases[id]
	if !found {
		return 0, false
	}
	l.ends = s.now().Add(l.ttl)
	s.leases[id] = l
	return l.ttl, true
}

// revoke ends a lease and removes its keys; false when it has ended before.
func (s *State) revoke(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, found := s.leases[id]
	s.end(id)
	return found
}

// RevokeAll ends all leases.
func (s *State) RevokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

func (s *State) end(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Removed: true})
		}
	}
}

// expire ends the leases whose time has passed.
func (s *State) expire() {
	for id, l := range s.leases {
		if !s.now().Before(l.ends) {
			s.end(id)
		}
	}
}

// Compact drops the history.
func (s *State) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.kept = nil, s.revision
	s.wake()
}

// Keys returns the keys that exist and the size of their values.
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
