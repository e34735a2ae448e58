package registry

import (
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestEntryLostWithTheHistoryIsWrittenAgain guards against a node that never writes its
// entry again after a removal that its watch did not report, because the store had
// compacted its history.
func TestEntryLostWithTheHistoryIsWrittenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	startRegistry(t, shared, "a")
	g.Eventually(func() bool { return shared.hasKey("nodes/a") }).WithTimeout(settleTime).Should(gomega.BeTrue())
	shared.modify(func(s *fakeStore) {
		s.withholdEvents = true
		s.write(store.Event{Key: "nodes/a", Removed: true})
	})
	g.Eventually(func() bool { return shared.hasKey("nodes/a") }).WithTimeout(settleTime).Should(gomega.BeTrue())
}
