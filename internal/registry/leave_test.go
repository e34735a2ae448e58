package registry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// lateDeleteStore executes deletions and ends of leases at once and responds to them late.
type lateDeleteStore struct{ *fakeStore }

func (s lateDeleteStore) Delete(ctx context.Context, key string) error {
	return respondLate(ctx, s.fakeStore.Delete(ctx, key))
}

func (s lateDeleteStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	return respondLate(ctx, s.fakeStore.Revoke(ctx, lease))
}

func respondLate(ctx context.Context, err error) error {
	if err != nil {
		return err
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestDeletedEntryStaysDeleted guards against a node that stops and writes its entry
// again, or is taken back by its leader, because a reader reports the deletion of the
// entry while the node waits for the response of the store.
func TestDeletedEntryStaysDeleted(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, leaving := range names {
		t.Run(leaving, func(t *testing.T) {
			g := gomega.NewWithT(t)
			shared := newFakeStore()
			shared.writeConfiguration(1)
			nodes := make(map[string]*testRegistry)
			for _, name := range names {
				nodes[name] = startRegistry(t, lateDeleteStore{shared}, name)
			}
			for _, n := range nodes {
				g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(len(names)))
			}
			g.Eventually(func() []string { return shared.keys("nodes/") }).WithTimeout(settleTime).Should(gomega.HaveLen(len(names)))
			// Followers poll their leaders by now.
			time.Sleep(DefaultConfig().WatchWait)
			ctx, cancel := context.WithTimeout(context.Background(), 2*DefaultConfig().WatchWait)
			defer cancel()
			g.Expect(nodes[leaving].DeleteLocalEntry(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
			g.Expect(shared.hasKey("nodes/" + leaving)).To(gomega.BeFalse())
			delete(nodes, leaving)
			for name, n := range nodes {
				g.Eventually(n.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(len(names)-1), name)
			}
		})
	}
}
