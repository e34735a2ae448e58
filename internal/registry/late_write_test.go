package registry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// heldWriteStore executes and responds to a write once another one may pass.
type heldWriteStore struct {
	*fakeStore
	pass, arrived chan struct{}
}

func (s heldWriteStore) Put(ctx context.Context, key string, value []byte, lease store.LeaseID) error {
	s.arrived <- struct{}{}
	<-s.pass
	return s.fakeStore.Put(ctx, key, value, lease)
}

// TestDeletionFollowsTheWriteInProgress guards against a node that deletes its entry while
// its lease loop still writes it, so that the fleet holds a node that has left.
func TestDeletionFollowsTheWriteInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	held := heldWriteStore{shared, make(chan struct{}), make(chan struct{})}
	a := startRegistry(t, held, "a")
	<-held.arrived
	held.pass <- struct{}{}
	g.Eventually(func() bool { return shared.hasKey("nodes/a") }).WithTimeout(settleTime).Should(gomega.BeTrue())
	a.UpdateLocalEntry(func(e *fleet.Entry) { e.State = fleet.Draining })
	<-held.arrived
	deleted := make(chan error, 1)
	go func() { deleted <- a.DeleteLocalEntry(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	held.pass <- struct{}{}
	g.Eventually(deleted).WithTimeout(settleTime).Should(gomega.Receive(gomega.BeNil()))
	g.Consistently(func() bool { return shared.hasKey("nodes/a") }).WithTimeout(100 * time.Millisecond).Should(gomega.BeFalse())
}
