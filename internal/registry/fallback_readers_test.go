package registry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// completeReads counts the reads of the configuration by all nodes.
type completeReads struct {
	Store
	count *atomic.Int64
}

func (s *completeReads) Read(ctx context.Context, key string) (store.Value, error) {
	s.count.Add(1)
	return s.Store.Read(ctx, key)
}

func (s *completeReads) List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	if prefix == configurationKey {
		s.count.Add(1)
	}
	return s.Store.List(ctx, prefix)
}

// lockedRandom returns a source of random numbers for concurrent use.
func lockedRandom(random *rand.Rand) func() float64 {
	var mu sync.Mutex
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// TestRegionWithoutLeadersReadsLittle guards against nodes that all read the configuration
// from the store when their leaders are lost together. A large one then reaches none of
// them in time over a thin link.
func TestRegionWithoutLeadersReadsLittle(t *testing.T) {
	const nodes, apply = 16, 3 * time.Second
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	var reads atomic.Int64
	registries := make(map[string]*testRegistry)
	handlers := make(map[string]*freezableHandler)
	for i := range nodes {
		name := fmt.Sprintf("n-%d", i)
		random := rand.New(rand.NewPCG(1, uint64(i)))
		r := startRegistryWithDeps(t, &completeReads{shared, &reads}, name,
			func(c *Config) { c.NewsLimit, c.WatchWait = apply/2, 1500*time.Millisecond },
			func(d *Deps) { d.Random = lockedRandom(random) })
		registries[name], handlers[name] = r, freezable(r)
	}
	for _, r := range registries {
		g.Eventually(r.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(nodes))
	}
	time.Sleep(2 * time.Second)
	lost := leaders(registries["n-0"].fleet.View().Entries(), "d")
	isLost := func(name string) bool {
		return slices.ContainsFunc(lost, func(e fleet.Entry) bool { return e.Node == name })
	}
	for _, leader := range lost {
		handlers[leader.Node].frozen.Store(true)
	}
	// Polls that have begun are still answered.
	time.Sleep(time.Second)
	reads.Store(0)
	shared.writeConfiguration(2)
	written := time.Now()
	for name, r := range registries {
		if !isLost(name) {
			g.Eventually(r.routes.Version).WithTimeout(apply-time.Since(written)).Should(gomega.Equal(routing.Version(2)), name)
		}
	}
	t.Logf("in force on all nodes after %s, with %d complete reads", time.Since(written), reads.Load())
	g.Expect(reads.Load()).To(gomega.BeNumerically("<=", fallbackReadersPerRegion+2))
}

// TestFollowerKnowsTheRevision guards against a follower that reads the whole configuration
// to learn that it has not changed, because it got it from a leader.
func TestFollowerKnowsTheRevision(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	var reads atomic.Int64
	usual := func(c *Config) { c.NewsLimit = configApply / 2 }
	startRegistryWith(t, shared, "a", usual)
	startRegistryWith(t, shared, "b", usual)
	follower, link := startFollower(t, &completeReads{shared, &reads}, usual)
	g.Eventually(follower.following.Load).WithTimeout(settleTime).Should(gomega.BeTrue())
	time.Sleep(time.Second)
	shared.writeConfiguration(2)
	g.Eventually(follower.routes.Version).WithTimeout(settleTime).Should(gomega.Equal(routing.Version(2)))
	reads.Store(0)
	shared.modify(func(s *fakeStore) { s.confirmations = 0 })
	link.requestsLost.Store(true)
	confirmations := func() (n int) {
		shared.modify(func(s *fakeStore) { n = s.confirmations })
		return n
	}
	g.Eventually(confirmations).WithTimeout(settleTime).Should(gomega.BeNumerically(">", 0))
	g.Consistently(reads.Load).WithTimeout(2 * time.Second).Should(gomega.BeZero())
}

// TestDomainWithoutLeadersFollowsReaders guards against as many watches of the store as a
// failure domain has nodes, once it has lost both of its leaders.
func TestDomainWithoutLeadersFollowsReaders(t *testing.T) {
	g := gomega.NewWithT(t)
	regions := map[string]string{"a": "r", "b": "r", "c": "other"}
	var entries []fleet.Entry
	for domain := range regions {
		for n := range 6 {
			entries = append(entries, fleet.Entry{Node: fmt.Sprintf("%s-%d", domain, n), Domain: domain})
		}
	}
	ofRegion := readers(entries, regions, "r")
	for _, e := range entries {
		next := upstreams(entries, regions, e)
		ofDomain := leaders(entries, e.Domain)
		if e.Domain == "c" || slices.ContainsFunc(ofDomain, func(l fleet.Entry) bool { return l.Node == e.Node }) {
			continue
		}
		g.Expect(next[:leadersPerDomain]).To(gomega.Equal(ofDomain))
		for _, reader := range ofRegion {
			g.Expect(next).To(gomega.ContainElement(reader))
		}
	}
}
