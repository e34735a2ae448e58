package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// TestVersionOfAPeerIsFetched guards against a reader that stays at an older version than
// the one that a peer has stated, because the peer did not serve that one yet and a
// restored store has lost it.
func TestVersionOfAPeerIsFetched(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(5)
	a, b := startRegistry(t, shared, "a"), startRegistry(t, shared, "b")
	for _, n := range []*testRegistry{a, b} {
		g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(2))
		g.Eventually(n.routes.Version).WithTimeout(settleTime).Should(gomega.Equal(routing.Version(5)))
	}
	previous, err := compress([]byte("6"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a.mergeState(peerState{Version: 7, Configuration: previous}, "test")
	g.Expect(a.routes.Version()).To(gomega.Equal(routing.Version(6)))
	// Before, a could fetch the version without having been told of it.
	g.Expect(b.applyConfiguration([]byte("7"), "test")).To(gomega.BeTrue())
	g.Eventually(a.routes.Version).WithTimeout(settleTime).Should(gomega.Equal(routing.Version(7)))
}
