package instance

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// sentAnnouncement is an announcement with its position in the order of sending.
type sentAnnouncement struct {
	announcement Announcement
	order        int
}

// TestLateAnnouncements guards against a late announcement that overwrites the
// state from a later one, also across a restart under the same identity.
func TestLateAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []sentAnnouncement
		for run := range rapid.IntRange(1, 3).Draw(t, "runs") {
			id := rapid.SampledFrom([]string{"same", "other"}).Draw(t, "id")
			draining := false
			for sequence := range rapid.IntRange(1, 4).Draw(t, "announcements") {
				draining = draining || rapid.Bool().Draw(t, "draining")
				sent = append(sent, sentAnnouncement{Announcement{
					Server: id, Service: "s", StartTime: int64(run + 1), Sequence: int64(sequence + 1), Draining: draining, Slots: 1,
				}, len(sent)})
			}
		}
		tracker := NewTracker("s", time.Now)
		newest := -1
		for _, s := range rapid.Permutation(sent).Draw(t, "received") {
			if _, err := tracker.Announce(s.announcement); err != nil {
				t.Fatal(err)
			}
			newest = max(newest, s.order)
			want := sent[newest].announcement
			got := tracker.Server()
			if got.StartTime != want.StartTime || got.Sequence != want.Sequence || (got.State == fleet.Draining) != want.Draining {
				t.Fatalf("%+v after %+v, want the state of the newest announcement received, %+v", got, s.announcement, want)
			}
		}
	})
}

// TestAbsentServers guards against a server that is used although it accepts no
// connections, and against one that stays unused after its return.
func TestAbsentServers(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	ready := Announcement{Server: "i", Service: "s", StartTime: 1, Sequence: 1, Slots: 4}
	_, err := tracker.Announce(ready)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(tracker.MarkAbsent("other")).To(gomega.BeFalse())
	g.Expect(tracker.MarkAbsent("i")).To(gomega.BeTrue())
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Absent))
	ready.Sequence = 2
	g.Expect(tracker.Announce(ready)).To(gomega.Equal(Applied))
	tracker.MarkAbsent("i")
	g.Expect(tracker.ObserveHealthy("i", 6)).To(gomega.Equal(Applied))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Ready))
}

// TestHealthCheckAdoptsNoOtherServer guards against a server of another service that is
// taken for the node's own because it responds at the address of one that ended.
func TestHealthCheckAdoptsNoOtherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	g.Expect(tracker.ObserveHealthy("j", 6)).To(gomega.Equal(Unknown))
	_, err := tracker.Announce(Announcement{Server: "i", Service: "s", StartTime: 1, Sequence: 1, Slots: 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tracker.MarkAbsent("i")
	before := tracker.Server()
	g.Expect(tracker.ObserveHealthy("j", 6)).To(gomega.Equal(Unknown))
	g.Expect(tracker.Server()).To(gomega.Equal(before))
	_, err = tracker.Announce(Announcement{Server: "j", Service: "other", StartTime: 2, Sequence: 1, Slots: 4})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(tracker.Server()).To(gomega.Equal(before))
}

// TestAcknowledgedLeavingIsApplied guards against a server that says that it leaves, is
// acknowledged and stays in use, because an announcement of another writer had a higher
// sequence number.
func TestAcknowledgedLeavingIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	announced := Announcement{Server: "i", Service: "s", StartTime: 1, Sequence: 100_000, Slots: 4}
	g.Expect(tracker.Announce(announced)).To(gomega.Equal(Applied))
	announced.Sequence, announced.Draining = 5, true
	g.Expect(tracker.Announce(announced)).To(gomega.Equal(Applied))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Draining))
	announced.Sequence, announced.Draining = 6, false
	g.Expect(tracker.Announce(announced)).To(gomega.Equal(Stale))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Draining))
}

// TestRestoredServerIsFoundByItsHealthCheck guards against a server that stays unused
// after a restart of its node until its next announcement, and against the identity of
// another service or of an earlier server replacing the known one.
func TestRestoredServerIsFoundByItsHealthCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	g.Expect(tracker.Restore("other", "x")).To(gomega.Equal(Unchanged))
	g.Expect(tracker.Restore("s", "i")).To(gomega.Equal(Applied))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Absent))
	g.Expect(tracker.ObserveHealthy("j", 6)).To(gomega.Equal(Unknown))
	g.Expect(tracker.ObserveHealthy("i", 6)).To(gomega.Equal(Applied))
	g.Expect(tracker.Server()).To(gomega.Equal(Server{Service: "s", ID: "i", State: fleet.Ready, Slots: 6}))
	g.Expect(tracker.Restore("s", "k")).To(gomega.Equal(Unchanged))
}

// TestChangedServiceForgetsTheServer guards against a server that is still used after its
// host was given to another service, and against a check-in of the service before.
func TestChangedServiceForgetsTheServer(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	announced := Announcement{Server: "i", Service: "s", StartTime: 1, Sequence: 1, Slots: 4}
	g.Expect(tracker.Announce(announced)).To(gomega.Equal(Applied))
	var changes []Server
	tracker.OnChange(func(_, next Server) { changes = append(changes, next) })
	g.Expect(tracker.SetService("s")).To(gomega.BeFalse())
	g.Expect(tracker.SetService("other")).To(gomega.BeTrue())
	g.Expect(changes).To(gomega.Equal([]Server{{Service: "other", State: fleet.Absent}}))
	announced.Sequence = 2
	_, err := tracker.Announce(announced)
	g.Expect(err).To(gomega.HaveOccurred())
	announced.Service, announced.Server = "other", "k"
	g.Expect(tracker.Announce(announced)).To(gomega.Equal(Applied))
}

// TestLeavingServerIsNotMarkedReady guards against a health response that makes a
// server ready although it has announced that it shuts down.
func TestLeavingServerIsNotMarkedReady(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	tracker.Leave("i", 0)
	g.Expect(tracker.ObserveHealthy("i", 6)).To(gomega.Equal(Stale))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Draining))
}

// TestAbsentLeavingServerIsNotMarkedReady guards against new requests to a server that
// has announced its shutdown, when a failed connection marks it as absent and a health
// check then finds it.
func TestAbsentLeavingServerIsNotMarkedReady(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	leaving := Announcement{Server: "i", Service: "s", StartTime: 1, Sequence: 2, Slots: 4, Draining: true}
	g.Expect(tracker.Announce(leaving)).To(gomega.Equal(Applied))
	g.Expect(tracker.MarkAbsent("i")).To(gomega.BeTrue())
	g.Expect(tracker.Server().Leaving).To(gomega.BeTrue(), "forgotten while the server is absent")
	g.Expect(tracker.ObserveHealthy("i", 4)).To(gomega.Equal(Stale))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Absent))
	leaving.Sequence = 3
	g.Expect(tracker.Announce(leaving)).To(gomega.Equal(Applied))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Draining))
	tracker.MarkAbsent("i")
	next := Announcement{Server: "j", Service: "s", StartTime: 2, Sequence: 1, Slots: 6}
	g.Expect(tracker.Announce(next)).To(gomega.Equal(Applied))
	g.Expect(tracker.Server()).To(gomega.Equal(Server{Service: "s", ID: "j", State: fleet.Ready, Slots: 6, StartTime: 2, Sequence: 1}))
}

// TestImplausibleAnnouncementsAreRejected guards against an announcement of another writer
// after which the announcements of the server itself count as stale, or whose slots make
// other nodes reject the entry of this node.
func TestImplausibleAnnouncementsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := NewTracker("s", time.Now)
	valid := Announcement{Server: "i", Service: "s", StartTime: 1, Sequence: 1, Slots: 4}
	for _, change := range []func(*Announcement){
		func(a *Announcement) { a.StartTime = math.MaxInt64 },
		func(a *Announcement) { a.StartTime = -1 },
		func(a *Announcement) { a.Slots = math.MaxInt64 },
		func(a *Announcement) { a.Sequence = -1 },
	} {
		odd := valid
		change(&odd)
		_, err := tracker.Announce(odd)
		g.Expect(err).To(gomega.HaveOccurred())
	}
	g.Expect(tracker.Announce(valid)).To(gomega.Equal(Applied))
}
