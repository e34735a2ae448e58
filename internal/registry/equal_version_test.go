package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestEqualVersionsMayDiffer guards against a node that never leaves a version because it
// holds other bytes of it than its leader, so that no change from the leader applies. A
// restored store is given a version again that a part of the nodes has seen before.
func TestEqualVersionsMayDiffer(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	nodes := make(map[string]*testRegistry)
	var entries []fleet.Entry
	for _, name := range []string{"a", "b", "c"} {
		nodes[name] = startRegistry(t, shared, name)
		entries = append(entries, nodes[name].LocalEntry())
	}
	leading := leaders(entries, "d")
	follower := entries[0]
	for _, e := range entries {
		if e.Node != leading[0].Node && e.Node != leading[1].Node {
			follower = e
		}
	}
	g.Eventually(nodes[follower.Node].following.Load).WithTimeout(settleTime).Should(gomega.BeTrue())
	g.Expect(nodes[follower.Node].applyConfiguration([]byte("7 {a}{c}"), "test")).To(gomega.BeTrue())
	for _, e := range leading {
		g.Expect(nodes[e.Node].applyConfiguration([]byte("7 {a}{b}"), "test")).To(gomega.BeTrue())
	}
	shared.modify(func(s *fakeStore) { s.write(store.Event{Key: configurationKey, Value: []byte("8 {a}{b}{d}")}) })
	for _, e := range entries {
		g.Eventually(nodes[e.Node].routes.Version).WithTimeout(settleTime).Should(gomega.Equal(routing.Version(8)), e.Node)
	}
}
