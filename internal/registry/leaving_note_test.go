package registry

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// TestLeavingOutlivesItsNode guards against a server that has announced that it leaves and
// is used again, because its node was stopped, or killed for longer than its lease, before
// the server ended; and against a note that is taken for a node.
func TestLeavingOutlivesItsNode(t *testing.T) {
	for name, end := range map[string]func(*fakeStore, *testRegistry){
		"stopped": func(_ *fakeStore, r *testRegistry) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = r.DeleteLocalEntry(ctx)
		},
		"killed, and its lease has ended": func(s *fakeStore, r *testRegistry) {
			r.leave()
			<-r.ended
			s.modify(func(s *fakeStore) {
				delete(s.values, "nodes/a")
				delete(s.leases, r.lease)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			shared := newFakeStore()
			shared.writeConfiguration(1)
			b := startRegistry(t, shared, "b")
			a := startRegistry(t, shared, "a")
			g.Eventually(b.readyNodes).WithTimeout(settleTime).Should(gomega.Equal(2))
			a.UpdateLocalEntry(func(entry *fleet.Entry) {
				entry.State, entry.LeavingServer, entry.LeavingStart = fleet.Draining, entry.Server, 7
			})
			hasNote := func() bool {
				found := false
				shared.modify(func(s *fakeStore) { _, found = s.values["nodes/a"+leavingNoteSuffix] })
				return found
			}
			g.Eventually(hasNote).WithTimeout(settleTime).Should(gomega.BeTrue())
			end(shared, a)
			g.Expect(b.fleet.View().Len()).To(gomega.BeNumerically("<=", 2), "the note is no node")
			var previous []fleet.Entry
			restarted := startRegistryNoting(t, shared, "a", func(entry fleet.Entry) { previous = append(previous, entry) })
			g.Eventually(restarted.fleetKnown.Load).WithTimeout(settleTime).Should(gomega.BeTrue())
			g.Expect(previous).NotTo(gomega.BeEmpty())
			g.Expect(previous[0].LeavingServer).To(gomega.Equal("server-a"))
			g.Expect(previous[0].LeavingStart).To(gomega.Equal(int64(7)))
		})
	}
}

// TestEachDepartureIsNoted guards against a run whose leaving is not kept in the store,
// because another run under the same identity left before or because the run was not the
// known one; and against calls to the store for what it holds already.
func TestEachDepartureIsNoted(t *testing.T) {
	g := gomega.NewWithT(t)
	shared := newFakeStore()
	shared.writeConfiguration(1)
	a := startRegistry(t, shared, "a")
	stored := func(key string) (entry fleet.Entry, grants store.LeaseID) {
		shared.modify(func(s *fakeStore) {
			grants = s.lastLease
			// An entry that is not there yet is empty.
			entry, _ = fleet.Decode("a", s.values[key])
		})
		return entry, grants
	}
	const entryKey, noteKey = "nodes/a", "nodes/a" + leavingNoteSuffix
	for start := int64(7); start < 9; start++ {
		a.UpdateLocalEntry(func(entry *fleet.Entry) {
			entry.State, entry.LeavingServer, entry.LeavingStart = fleet.Draining, entry.Server, start
		})
		g.Eventually(func() int64 { note, _ := stored(noteKey); return note.LeavingStart }).WithTimeout(settleTime).Should(gomega.Equal(start))
	}
	departed := []fleet.Departure{{Server: "unannounced", StartedBy: 9}}
	a.UpdateLocalEntry(func(entry *fleet.Entry) { entry.Departed = departed })
	g.Eventually(func() []fleet.Departure { note, _ := stored(noteKey); return note.Departed }).WithTimeout(settleTime).Should(gomega.Equal(departed))

	_, grants := stored(noteKey)
	a.UpdateLocalEntry(func(entry *fleet.Entry) {
		entry.State, entry.Server, entry.LeavingServer, entry.LeavingStart = fleet.Ready, "next", "", 0
	})
	g.Eventually(func() string { entry, _ := stored(entryKey); return entry.Server }).WithTimeout(settleTime).Should(gomega.Equal("next"))
	_, after := stored(entryKey)
	g.Expect(after).To(gomega.Equal(grants))
}
