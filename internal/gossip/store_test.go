package gossip_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/gossip"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// memoryStore is an in-memory store that counts calls and can be made unavailable.
// It implements only the methods that the exchange uses.
type memoryStore struct {
	store.Client
	calls atomic.Int64
	down  atomic.Bool

	mu     sync.Mutex
	values map[string]store.Value
	leases store.LeaseID
	// lostLeases is the last lease that no longer exists.
	lostLeases store.LeaseID
}

func newMemoryStore() *memoryStore { return &memoryStore{values: make(map[string]store.Value)} }

func (s *memoryStore) countCall() error {
	s.calls.Add(1)
	if s.down.Load() {
		return store.ErrNotSent
	}
	return nil
}

func (s *memoryStore) Get(_ context.Context, key string) (store.Value, error) {
	if err := s.countCall(); err != nil {
		return store.Value{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key], nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expected store.Revision, data []byte, _ store.LeaseID) (store.Revision, error) {
	if err := s.countCall(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != expected {
		return 0, store.ErrConflict
	}
	s.values[key] = store.Value{Data: data, Revision: expected + 1}
	return expected + 1, nil
}

func (s *memoryStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	if err := s.countCall(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	return s.leases, nil
}

func (s *memoryStore) KeepAlive(_ context.Context, lease store.LeaseID) error {
	if err := s.countCall(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lease <= s.lostLeases {
		return store.ErrLeaseExpired
	}
	return nil
}

// loseAll drops all keys and leases, as a restore from a copy without them.
func (s *memoryStore) loseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.values)
	s.lostLeases = s.leases
}

func (s *memoryStore) hasKey(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key].Revision > 0
}

// TestSeedsAreRegisteredAgain guards against a failure domain that no starting node
// finds, because the store has lost the list of domains and the domain is registered
// only once.
func TestSeedsAreRegisteredAgain(t *testing.T) {
	shared := newMemoryStore()
	startNode(t, 0, nil, shared, func(config *gossip.Config) { config.RejoinInterval = 400 * time.Millisecond })
	registered := func() bool { return shared.hasKey("seed-domains") }
	await(t, 10*time.Second, "the domain is registered", registered)
	await(t, 10*time.Second, "the seeds are written", func() bool {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		return shared.leases > 0
	})
	shared.loseAll()
	await(t, 10*time.Second, "the domain is registered again", registered)
}

// TestJoinFromStore guards against nodes without configured seeds that start
// together and do not find each other, within a domain or across domains, and
// against too many calls to the store.
func TestJoinFromStore(t *testing.T) {
	const size = 12
	shared := newMemoryStore()
	shared.down.Store(true)
	var nodes []*testNode
	for i := range size {
		nodes = append(nodes, startNode(t, i, nil, shared))
	}
	time.Sleep(500 * time.Millisecond)
	shared.down.Store(false)
	elapsed := await(t, 20*time.Second, "all nodes know all others", func() bool {
		return all(nodes, func(n *testNode) bool { return countAlive(n) == size })
	})
	calls := shared.calls.Load()
	t.Logf("%d nodes joined through the store after %s with %d calls", size, elapsed, calls)
	if calls > 12*size {
		t.Errorf("%d calls to the store, want at most 12 for each node", calls)
	}
	late := startNode(t, size, nil, shared)
	await(t, 10*time.Second, "a late node knows all others", func() bool { return countAlive(late) == size+1 })
}

// inForceLimit is the time within which a change must be in force everywhere, and
// so the maximum time for which parts of a fleet may remain disconnected.
const inForceLimit = 3 * time.Second

// TestSeedGroupsMerge guards against nodes that start together, join through
// different seeds and remain in separate groups, so that changes do not reach the
// other group.
func TestSeedGroupsMerge(t *testing.T) {
	first, second := startNode(t, 0, nil, nil), startNode(t, 1, nil, nil)
	both := []string{first.address(), second.address()}
	nodes := []*testNode{first, second}
	for index := range 4 {
		nodes = append(nodes, startNode(t, index+2, both, nil))
	}
	await(t, inForceLimit, "all nodes know all others", func() bool {
		return all(nodes, func(n *testNode) bool { return countAlive(n) == len(nodes) })
	})
}

// TestSeparateDomainsMerge guards against parts of a fleet that each joined through
// their own seeds and never find each other.
func TestSeparateDomainsMerge(t *testing.T) {
	shared := newMemoryStore()
	shared.down.Store(true)
	shortRejoin := func(config *gossip.Config) { config.RejoinInterval = 400 * time.Millisecond }
	var nodes []*testNode
	for _, first := range []int{0, 3} {
		seed := startNode(t, first, nil, shared, shortRejoin)
		nodes = append(nodes, seed)
		for _, index := range []int{first + 4, first + 8} {
			nodes = append(nodes, startNode(t, index, []string{seed.address()}, shared, shortRejoin))
		}
	}
	await(t, 10*time.Second, "all nodes know the others of their part", func() bool {
		return all(nodes, func(n *testNode) bool { return countAlive(n) == len(nodes)/2 })
	})
	// After this time, the first nodes of both parts no longer look for seeds.
	time.Sleep(2 * time.Second)
	shared.down.Store(false)
	await(t, 10*time.Second, "all nodes know the nodes of both parts", func() bool {
		return all(nodes, func(n *testNode) bool { return countAlive(n) == len(nodes) })
	})
}
