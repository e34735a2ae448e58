package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestRemovedEntryIsWrittenAgain guards against a node whose entry is deleted while its
// lease lives, as by a deletion that the store executes late, and that a reader drops for
// good, because the node follows a leader and no watch of its own reports the removal.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	names := []string{"a", "b", "c"}
	var nodes []*testRegistry
	for _, name := range names {
		nodes = append(nodes, startRegistry(t, shared, name))
	}
	for _, n := range nodes {
		g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(len(names)))
	}
	for _, name := range names {
		key := "nodes/" + name
		g.Eventually(func() bool { return shared.hasKey(key) }).WithTimeout(settleTime).Should(gomega.BeTrue())
		shared.modify(func(s *fakeStore) { s.write(store.Event{Key: key, Removed: true}) })
		g.Eventually(func() bool { return shared.hasKey(key) }).WithTimeout(settleTime).Should(gomega.BeTrue(), name)
	}
	for _, n := range nodes {
		g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(len(names)))
	}
}
