// Package store is a stand-in for the platform's key-value store: compare and
// swap, leases, watches by long poll, and faults that tests switch on.
//
// It owns all keys and leases, in memory. It is a test stand-in and is not
// shipped.
package store

import (
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// State holds the keys and leases. It is safe for concurrent use.
type State struct {
	now func() time.Time

	mu        sync.Mutex
	entries   map[string]*entry
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
}

// NewState returns an empty state that expires leases by the given clock.
func NewState(now func() time.Time) *State {
	return &State{now: now, entries: make(map[string]*entry), leases: make(map[store.LeaseID]*lease)}
}

// Get returns a value; revision 0 when the key does not exist.
func (s *State) Get(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(key).value()
}

// Previous returns the value before the newest write of the key.
func (s *State) Previous(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(key).previous
}

// Changed returns a channel that is closed at the key's next write, and the
// value now.
func (s *State) Changed(key string) (<-chan struct{}, store.Value) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(key)
	return e.changed, e.value()
}

// CompareAndSwap writes data when the key is at the expected revision.
func (s *State) CompareAndSwap(key string, expected store.Revision, data []byte, id store.LeaseID) (store.Revision, error) {
	if len(data) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != 0 && s.lease(id) == nil {
		return 0, store.ErrLeaseExpired
	}
	e := s.entry(key)
	if e.value().Revision != expected {
		return 0, store.ErrConflict
	}
	e.write(data, id)
	return e.revision, nil
}

// Grant creates a lease.
func (s *State) Grant(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.lastLease
}

// KeepAlive renews a lease.
func (s *State) KeepAlive(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lease(id)
	if l == nil {
		return store.ErrLeaseExpired
	}
	l.renew(s.now())
	return nil
}

// Revoke ends a lease; its keys are deleted.
func (s *State) Revoke(id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease(id) == nil {
		return store.ErrLeaseExpired
	}
	delete(s.leases, id)
	return nil
}

// Keys returns the keys that exist and the size of their values.
func (s *State) Keys() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sizes := make(map[string]int)
	for key := range s.entries {
		if e := s.entry(key); e.exists {
			sizes[key] = len(e.data)
		}
	}
	return sizes
}

// entry returns the key's entry, deleted first when its lease has ended.
func (s *State) entry(key string) *entry {
	e := s.entries[key]
	if e == nil {
		e = newEntry()
		s.entries[key] = e
	}
	if e.exists && e.lease != 0 && s.lease(e.lease) == nil {
		e.remove()
	}
	return e
}

// lease returns a lease in force; nil when it does not exist or has expired.
func (s *State) lease(id store.LeaseID) *lease {
	l := s.leases[id]
	if l != nil && l.expired(s.now()) {
		delete(s.leases, id)
		return nil
	}
	return l
}
