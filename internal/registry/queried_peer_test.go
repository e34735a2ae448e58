package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestQueriedPeerTellsOfALapsedEntry guards against a live node that readers drop for
// good: its entry has left the store, and it queries its leader as a peer before the next
// poll, which showed the leader that the node is alive and ended the retention there.
func TestQueriedPeerTellsOfALapsedEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	var nodes []*testRegistry
	for _, name := range []string{"a", "b", "c"} {
		nodes = append(nodes, startRegistry(t, shared, name))
	}
	var follower *testRegistry
	g.Eventually(func() bool {
		known := 0
		for _, n := range nodes {
			known += n.readyNodes()
			if n.following.Load() {
				follower = n
			}
		}
		return known == len(nodes)*len(nodes) && follower != nil && shared.hasKey("nodes/"+follower.LocalEntry().Node)
	}).WithTimeout(settleTime).Should(gomega.BeTrue())
	local := follower.LocalEntry()
	for _, n := range nodes {
		if n != follower {
			n.fleet.MarkLapsed(local.Node, n.deps.Now())
		}
	}
	shared.modify(func(s *fakeStore) { s.write(store.Event{Key: "nodes/" + local.Node, Removed: true}) })
	for _, n := range nodes {
		if n != follower {
			g.Expect(follower.queryPeer(t.Context(), n.LocalEntry())).To(gomega.BeTrue())
		}
	}
	g.Eventually(func() bool { return shared.hasKey("nodes/" + local.Node) }).WithTimeout(settleTime).Should(gomega.BeTrue())
}
