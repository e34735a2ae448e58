package registry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

var errStoreDown = errors.New("the store is down")

// revisionedEvent is an event with its revision.
type revisionedEvent struct {
	event    store.Event
	revision store.Revision
}

// fakeStore is an in-memory store with fault injection.
type fakeStore struct {
	mu        sync.Mutex
	values    map[string][]byte
	leases    map[store.LeaseID][]string
	history   []revisionedEvent
	revision  store.Revision
	lastLease store.LeaseID
	down      bool
	// withholdEvents makes watches wait their full time and then fail as compacted.
	withholdEvents bool
	calls          int
	// reads counts the reads of the configuration.
	reads int
	// confirmations counts the calls of IsAt and Read.
	confirmations int
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: make(map[string][]byte), leases: make(map[store.LeaseID][]string), revision: 1}
}

// startCall counts a call and fails while the store is down.
func (s *fakeStore) startCall() error {
	s.calls++
	if s.down {
		return errStoreDown
	}
	return nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]store.Item, store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return nil, 0, err
	}
	if strings.HasPrefix(configurationKey, prefix) {
		s.reads++
	}
	var items []store.Item
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			items = append(items, store.Item{Key: key, Value: value})
		}
	}
	return items, s.revision, nil
}

func (s *fakeStore) IsAt(_ context.Context, key string, revision store.Revision) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations++
	if err := s.startCall(); err != nil {
		return false, err
	}
	return revision != 0 && s.revisionOf(key) == revision, nil
}

func (s *fakeStore) Read(_ context.Context, key string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmations++
	if err := s.startCall(); err != nil {
		return store.Value{}, err
	}
	return store.Value{Data: s.values[key], Revision: s.revisionOf(key)}, nil
}

// revisionOf returns the revision of the last change of a key.
func (s *fakeStore) revisionOf(key string) store.Revision {
	for _, c := range slices.Backward(s.history) {
		if c.event.Key == key {
			return c.revision
		}
	}
	return 0
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	s.mu.Lock()
	withholdEvents := s.withholdEvents
	s.mu.Unlock()
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		events, at, err := s.eventsAfter(prefix, after)
		if err != nil || (len(events) > 0 && !withholdEvents) {
			return events, at, err
		}
	}
	if withholdEvents {
		return nil, 0, store.ErrCompacted
	}
	return nil, after, nil
}

func (s *fakeStore) eventsAfter(prefix string, after store.Revision) ([]store.Event, store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errStoreDown
	}
	var events []store.Event
	for _, c := range s.history {
		if c.revision > after && strings.HasPrefix(c.event.Key, prefix) {
			event := c.event
			event.Revision = c.revision
			events = append(events, event)
		}
	}
	return events, s.revision, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, lease store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return err
	}
	if lease != 0 {
		if _, found := s.leases[lease]; !found {
			return store.ErrLeaseExpired
		}
		s.leases[lease] = append(s.leases[lease], key)
	}
	s.write(store.Event{Key: key, Value: value})
	return nil
}

func (s *fakeStore) Delete(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return err
	}
	s.write(store.Event{Key: key, Removed: true})
	return nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = nil
	return s.lastLease, nil
}

func (s *fakeStore) KeepAlive(_ context.Context, lease store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return err
	}
	if _, found := s.leases[lease]; !found {
		return store.ErrLeaseExpired
	}
	return nil
}

// write applies a change of a key.
func (s *fakeStore) write(event store.Event) {
	s.revision++
	s.history = append(s.history, revisionedEvent{event, s.revision})
	if event.Removed {
		delete(s.values, event.Key)
		return
	}
	s.values[event.Key] = event.Value
}

func (s *fakeStore) Revoke(_ context.Context, lease store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return err
	}
	if _, found := s.leases[lease]; !found {
		return store.ErrLeaseExpired
	}
	s.endLease(lease)
	return nil
}

// revokeAll ends all leases and removes the keys bound to them.
func (s *fakeStore) revokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for lease := range s.leases {
		s.endLease(lease)
	}
}

// endLease ends a lease and removes the keys bound to it.
func (s *fakeStore) endLease(lease store.LeaseID) {
	for _, key := range s.leases[lease] {
		s.write(store.Event{Key: key, Removed: true})
	}
	delete(s.leases, lease)
}

func (s *fakeStore) modify(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) hasKey(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key] != nil
}

func (s *fakeStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// keys returns the keys under a prefix.
func (s *fakeStore) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []string
	for key := range s.values {
		if strings.HasPrefix(key, prefix) {
			matching = append(matching, key)
		}
	}
	return matching
}

func (s *fakeStore) configurationReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}
