package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestFollowerKeepsWhatItsLeaderHolds guards against a follower that drops a live node:
// the entry had lapsed there before it followed a leader, and was written again without a
// change, of which a leader does not tell its followers.
func TestFollowerKeepsWhatItsLeaderHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	var nodes []*testRegistry
	for _, name := range []string{"a", "b", "c", "d"} {
		nodes = append(nodes, startRegistryWith(t, shared, name, func(c *Config) { c.WatchWait = 200 * time.Millisecond }))
	}
	followers := func() []*testRegistry {
		var following []*testRegistry
		for _, n := range nodes {
			if n.readyNodes() == len(nodes) && n.following.Load() {
				following = append(following, n)
			}
		}
		return following
	}
	g.Eventually(followers).WithTimeout(settleTime).Should(gomega.HaveLen(2))
	// The followers' own leases stay as they are.
	time.Sleep(100 * time.Millisecond)
	for _, follower := range followers() {
		for _, n := range nodes {
			follower.fleet.MarkLapsed(n.LocalEntry().Node, time.Now())
		}
		g.Consistently(follower.readyNodes).WithTimeout(time.Second).Should(gomega.Equal(len(nodes)))
	}
}
