package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestOverwrittenEntryIsWrittenAgain guards against a live node whose entry another writer
// has replaced by an invalid value, and that nodes which start later never see.
func TestOverwrittenEntryIsWrittenAgain(t *testing.T) {
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
		shared.modify(func(s *fakeStore) { s.write(store.Event{Key: key, Value: []byte("[")}) })
		g.Eventually(isValid).WithTimeout(settleTime).Should(gomega.Succeed(), name)
	}
	for _, n := range nodes {
		g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(len(names)))
	}
}
