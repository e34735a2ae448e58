package registry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// grantTimesStore records when leases are granted.
type grantTimesStore struct {
	*fakeStore
	mu    sync.Mutex
	times []time.Time
}

func (s *grantTimesStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	s.times = append(s.times, time.Now())
	s.mu.Unlock()
	return s.fakeStore.Grant(ctx, ttl)
}

// TestLostLeasesAreNotReplacedAtOnce guards against nodes that lose their leases
// together, as after a restore of the store, and all write at the same moment.
func TestLostLeasesAreNotReplacedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := &grantTimesStore{fakeStore: newFakeStore()}
	var nodes []*testRegistry
	const count = 20
	for i := range count {
		nodes = append(nodes, startRegistry(t, shared, string(rune('a'+i))))
	}
	for _, n := range nodes {
		g.Eventually(n.readyNodes).WithTimeout(2 * settleTime).Should(gomega.Equal(count))
	}
	g.Eventually(func() int { return len(shared.keys("nodes/")) }).WithTimeout(settleTime).Should(gomega.Equal(count))
	shared.mu.Lock()
	shared.times = nil
	shared.mu.Unlock()
	revokedAt := time.Now()
	shared.revokeAll()
	g.Eventually(func() int { return len(shared.keys("nodes/")) }).WithTimeout(settleTime).Should(gomega.Equal(count))
	shared.mu.Lock()
	defer shared.mu.Unlock()
	g.Expect(shared.times).To(gomega.HaveLen(count))
	// The random number of the tests is always 0.5.
	g.Expect(shared.times[0].Sub(revokedAt)).To(gomega.BeNumerically(">=", count*rewriteSpread/2))
}

// TestLocalChangesKeepTheSpreadOfRewrites guards against a node that replaces a lost lease
// at once, because its entry changes or its removal is reported meanwhile.
func TestLocalChangesKeepTheSpreadOfRewrites(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := &grantTimesStore{fakeStore: newFakeStore()}
	a := startRegistry(t, shared, "a")
	const count = 20
	for i := range count - 1 {
		a.fleet.Merge(fleet.Entry{Node: string(rune('b' + i)), InboundAddress: "127.0.0.1:1", Domain: "other", Service: "s"})
	}
	g.Eventually(func() int { return len(shared.keys("nodes/")) }).WithTimeout(settleTime).Should(gomega.Equal(1))
	revokedAt := time.Now()
	shared.revokeAll()
	g.Eventually(func() int {
		a.UpdateLocalEntry(func(*fleet.Entry) {})
		return len(shared.keys("nodes/"))
	}).WithTimeout(settleTime).WithPolling(time.Millisecond).Should(gomega.Equal(1))
	shared.mu.Lock()
	defer shared.mu.Unlock()
	g.Expect(shared.times).To(gomega.HaveLen(2))
	// The random number of the tests is always 0.5.
	g.Expect(shared.times[1].Sub(revokedAt)).To(gomega.BeNumerically(">=", count*rewriteSpread/2))
}

// TestRewriteDelay guards against a fleet whose nodes write faster than the store
// permits, and against a delay after which the fleet has dropped a live node.
func TestRewriteDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(rewriteDelay(13, 0.999)).To(gomega.BeNumerically("<", 13*rewriteSpread))
	g.Expect(rewriteDelay(80, 0.5)).To(gomega.Equal(40 * rewriteSpread))
	g.Expect(rewriteDelay(195, 0.999)).To(gomega.BeNumerically("<", maxRewriteDelay))
	const lapsedRetention = 2500 * time.Millisecond
	g.Expect(DefaultConfig().FollowerKeepInterval + maxRewriteDelay).To(gomega.BeNumerically("<", lapsedRetention))
}
