package registry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestDepartedNodeIsNotTakenFromAPeer guards against a node that has left and stays in the
// fleet of a reader, because a peer that still kept its entry was queried and the store
// doesn't report the end of that entry a second time.
func TestDepartedNodeIsNotTakenFromAPeer(t *testing.T) {
	left := fleet.Entry{
		Node: "left", InboundAddress: "127.0.0.1:1", Domain: "e", Service: "s", Server: "x", State: fleet.Ready, Slots: 1, Incarnation: 5,
	}
	contains := func(n *testRegistry) func() bool { return func() bool { return n.fleet.View().Contains("left") } }

	t.Run("at the start", func(t *testing.T) {
		g := gomega.NewWithT(t)
		shared := newFakeStore()
		shared.writeConfiguration(1)
		a := startRegistry(t, shared, "a")
		g.Eventually(a.Ready).WithTimeout(settleTime).Should(gomega.BeTrue())
		// The peer takes the entry to have just lapsed.
		a.fleet.Merge(left)
		a.fleet.MarkLapsed("left", time.Now())
		b := startRegistry(t, shared, "b")
		g.Eventually(b.Ready).WithTimeout(settleTime).Should(gomega.BeTrue())
		g.Eventually(contains(a)).WithTimeout(settleTime).Should(gomega.BeFalse())
		g.Eventually(contains(b)).WithTimeout(settleTime).Should(gomega.BeFalse())
	})

	t.Run("later", func(t *testing.T) {
		g := gomega.NewWithT(t)
		shared := newFakeStore()
		shared.writeConfiguration(1)
		a, b := startRegistry(t, shared, "a"), startRegistry(t, shared, "b")
		for _, n := range []*testRegistry{a, b} {
			g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(2))
			g.Eventually(n.Ready).WithTimeout(settleTime).Should(gomega.BeTrue())
		}
		shared.modify(func(s *fakeStore) { s.write(store.Event{Key: "nodes/left", Value: left.Encode()}) })
		for _, n := range []*testRegistry{a, b} {
			g.Eventually(contains(n)).WithTimeout(settleTime).Should(gomega.BeTrue())
		}
		// b keeps the entry longer than a, as a peer whose view lags does.
		shared.modify(func(s *fakeStore) { s.write(store.Event{Key: "nodes/left", Removed: true}) })
		g.Eventually(contains(a)).WithTimeout(settleTime).Should(gomega.BeFalse())
		b.fleet.Merge(left)
		a.Suspect(b.LocalEntry())
		g.Consistently(contains(a)).WithTimeout(time.Second).Should(gomega.BeFalse())
	})
}
