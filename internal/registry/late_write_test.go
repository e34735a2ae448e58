package registry

import (
	"context"
	"errors"
	"sync/atomic"
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

// lateWriteStore responds to the write after it was armed when its context ends, and
// executes it later.
type lateWriteStore struct {
	*fakeStore
	armed          *atomic.Bool
	late, executed chan struct{}
}

func (s lateWriteStore) Put(ctx context.Context, key string, value []byte, lease store.LeaseID) error {
	if !s.armed.CompareAndSwap(true, false) {
		return s.fakeStore.Put(ctx, key, value, lease)
	}
	s.late <- struct{}{}
	<-ctx.Done()
	time.AfterFunc(50*time.Millisecond, func() {
		if err := s.fakeStore.Put(context.Background(), key, value, lease); err != nil && !errors.Is(err, store.ErrLeaseExpired) {
			panic(err)
		}
		close(s.executed)
	})
	return ctx.Err()
}

// TestLateWriteDoesNotBringTheEntryBack guards against a node that left and is in the fleet
// again, because a slow store executes the last write of its entry after the deletion.
func TestLateWriteDoesNotBringTheEntryBack(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	late := lateWriteStore{shared, new(atomic.Bool), make(chan struct{}), make(chan struct{})}
	a := startRegistry(t, late, "a")
	g.Eventually(func() bool { return shared.hasKey("nodes/a") }).WithTimeout(settleTime).Should(gomega.BeTrue())
	late.armed.Store(true)
	a.UpdateLocalEntry(func(e *fleet.Entry) { e.State = fleet.Draining })
	<-late.late
	g.Expect(a.DeleteLocalEntry(context.Background())).To(gomega.Succeed())
	<-late.executed
	g.Expect(shared.hasKey("nodes/a")).To(gomega.BeFalse())
}

// lateResponseStore executes a write at once and responds to it once it may.
type lateResponseStore struct {
	*fakeStore
	executed, respond chan struct{}
}

func (s lateResponseStore) Put(ctx context.Context, key string, value []byte, lease store.LeaseID) error {
	err := s.fakeStore.Put(ctx, key, value, lease)
	select {
	case s.executed <- struct{}{}:
		<-s.respond
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestEntryLostDuringItsWriteIsWrittenAgain guards against a live node that is not in the
// store, because its entry was removed before the store responded to the write of it.
func TestEntryLostDuringItsWriteIsWrittenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	late := lateResponseStore{shared, make(chan struct{}), make(chan struct{})}
	startRegistry(t, late, "a")
	<-late.executed
	// The watch has started by then.
	time.Sleep(200 * time.Millisecond)
	shared.modify(func(s *fakeStore) { s.write(store.Event{Key: "nodes/a", Removed: true}) })
	time.Sleep(200 * time.Millisecond)
	late.respond <- struct{}{}
	g.Eventually(late.executed).WithTimeout(settleTime).Should(gomega.Receive(), "the entry is written again")
	late.respond <- struct{}{}
	g.Eventually(func() bool { return shared.hasKey("nodes/a") }).WithTimeout(settleTime).Should(gomega.BeTrue())
}
