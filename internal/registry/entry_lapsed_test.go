package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestRemovedEntryIsWrittenAgain guards against a node whose entry is deleted while its
// lease lives, as by a deletion that the store executes late, and that a reader drops for
// good, because the node follows a leader and no watch of its own reports the removal.
func TestRemovedEntryIsWrittenAgain(t *testing.T) {
	expectWrittenAgain(t, func(key string) store.Event { return store.Event{Key: key, Removed: true} })
}

// TestOverwrittenEntryIsWrittenAgain guards against a live node whose entry another writer
// has replaced by an invalid value, and that nodes which start later never see.
func TestOverwrittenEntryIsWrittenAgain(t *testing.T) {
	expectWrittenAgain(t, func(key string) store.Event { return store.Event{Key: key, Value: []byte("[")} })
}

// expectWrittenAgain has the store lose the entry of each of three nodes in turn, and
// checks that it is written again and that the fleet stays complete.
func expectWrittenAgain(t *testing.T, loss func(key string) store.Event) {
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
		isValid := func() error {
			_, err := fleet.Decode(name, shared.value(key))
			return err
		}
		g.Eventually(isValid).WithTimeout(settleTime).Should(gomega.Succeed())
		shared.modify(func(s *fakeStore) { s.write(loss(key)) })
		g.Eventually(isValid).WithTimeout(settleTime).Should(gomega.Succeed(), name)
	}
	for _, n := range nodes {
		g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(len(names)))
	}
}
