package instance

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// testClock is the clock of a host.
type testClock struct{ now time.Time }

func newTestClock() *testClock { return &testClock{time.UnixMilli(1_000_000)} }

func (c *testClock) read() time.Time { return c.now }

// pass lets time pass and returns the new time in Unix milliseconds.
func (c *testClock) pass(d time.Duration) int64 {
	c.now = c.now.Add(d)
	return c.now.UnixMilli()
}

// TestServerThatLeavesUnannouncedStaysLeft guards against a run whose leaving is
// acknowledged before its first announcement arrives, and which that announcement makes
// ready.
func TestServerThatLeavesUnannouncedStaysLeft(t *testing.T) {
	for name, before := range map[string]func(*Tracker){
		"unknown": func(*Tracker) {},
		"left":    func(t *Tracker) { t.Leave("before", 0) },
		"ready":   func(*Tracker) {},
		"absent":  func(t *Tracker) { t.MarkAbsent("before") },
	} {
		for _, id := range []string{"before", "next"} {
			for _, stated := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, start stated %t", name, id, stated), func(t *testing.T) {
					g := gomega.NewWithT(t)
					clock := newTestClock()
					tracker := NewTracker("s", clock.read)
					if name != "unknown" {
						g.Expect(tracker.Announce(Announcement{Server: "before", Service: "s", StartTime: clock.pass(0), Sequence: 7, Slots: 4})).To(gomega.Equal(Applied))
					}
					before(tracker)
					next := Announcement{Server: id, Service: "s", StartTime: clock.pass(time.Second), Sequence: 1, Slots: 4}
					clock.pass(time.Second)
					leavingStart := int64(0)
					if stated {
						leavingStart = next.StartTime
					}
					g.Expect(tracker.Leave(id, leavingStart)).NotTo(gomega.Equal(Stale))
					clock.pass(3 * time.Second)
					g.Expect(tracker.Announce(next)).To(gomega.Equal(Stale))
					g.Expect(tracker.ObserveHealthy(id, 4)).NotTo(gomega.Equal(Applied))
					server := tracker.Server()
					g.Expect(server.ID == id && server.State == fleet.Ready).To(gomega.BeFalse(), "%+v", server)

					later := Announcement{Server: id, Service: "s", StartTime: clock.pass(time.Second), Sequence: 1, Slots: 4}
					g.Expect(tracker.Announce(later)).To(gomega.Equal(Applied), "a later run under the same identity is ignored")
				})
			}
		}
	}
}

// TestLateLeavingKeepsTheNextServer guards against a run that is taken out of use because
// the leaving of the one before it arrives late.
func TestLateLeavingKeepsTheNextServer(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := newTestClock()
	tracker := NewTracker("s", clock.read)
	next := Announcement{Server: "next", Service: "s", StartTime: clock.pass(time.Second), Sequence: 1, Slots: 4}
	g.Expect(tracker.Announce(next)).To(gomega.Equal(Applied))
	clock.pass(time.Second)
	g.Expect(tracker.Leave("before", 0)).To(gomega.Equal(Departed))
	g.Expect(tracker.Server().State).To(gomega.Equal(fleet.Ready))
	next.Sequence = 2
	g.Expect(tracker.Announce(next)).To(gomega.Equal(Unchanged))
}

// TestDepartureOutlivesItsNode guards against a run that left before its first announcement
// and is used after a restart of its node, which knows only the entry of its earlier
// process.
func TestDepartureOutlivesItsNode(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := newTestClock()
	tracker := NewTracker("s", clock.read)
	var published Server
	tracker.OnChange(func(_, next Server) { published = next })
	g.Expect(tracker.Announce(Announcement{Server: "before", Service: "s", StartTime: clock.pass(0), Sequence: 1, Slots: 4})).To(gomega.Equal(Applied))
	tracker.Leave("before", 0)
	unannounced := Announcement{Server: "next", Service: "s", StartTime: clock.pass(time.Second), Sequence: 1, Slots: 4}
	clock.pass(time.Second)
	g.Expect(tracker.Leave("next", 0)).To(gomega.Equal(Departed))

	restarted := NewTracker("s", clock.read)
	for _, left := range published.Departed {
		restarted.Depart(left)
	}
	restarted.Leave(published.ID, published.StartTime)
	clock.pass(time.Second)
	g.Expect(restarted.Announce(unannounced)).To(gomega.Equal(Stale))
	g.Expect(restarted.Server().State).To(gomega.Equal(fleet.Draining))
}

// TestDeparturesStayBounded guards against departures that fill the memory of a node or its
// entry, and against a run that is ignored for good because its clock was behind that of
// the run before it.
func TestDeparturesStayBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := newTestClock()
	tracker := NewTracker("s", clock.read)
	for i := range 10 * maxDepartures {
		tracker.Leave("i-"+strconv.Itoa(i), 0)
	}
	g.Expect(len(tracker.departed)).To(gomega.Equal(maxDepartures))
	g.Expect(len(tracker.Server().Departed)).To(gomega.Equal(fleet.MaxDepartures))
	last := "i-" + strconv.Itoa(10*maxDepartures-1)
	behind := Announcement{Server: last, Service: "s", StartTime: clock.now.UnixMilli() - 1, Sequence: 1, Slots: 4}
	g.Expect(tracker.Announce(behind)).To(gomega.Equal(Stale))
	clock.pass(departureTTL)
	g.Expect(tracker.Announce(behind)).To(gomega.Equal(Applied))
}

// TestAcknowledgedLeavingBinds guards against an announcement that makes a run ready after
// its leaving was acknowledged, and against a run that is ignored although it has not
// left. Runs follow each other with the same or another identity; their announcements
// arrive late, twice or not at all.
func TestAcknowledgedLeavingBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newTestClock()
		tracker := NewTracker("s", clock.read)
		type run struct {
			id    string
			start int64
		}
		left := make(map[run]bool)
		var delayed []Announcement
		check := func(what string) {
			server := tracker.Server()
			if server.State == fleet.Ready && left[run{server.ID, server.StartTime}] {
				t.Fatalf("%+v is ready after %s, although its leaving was acknowledged", server, what)
			}
		}
		announce := func(a Announcement) {
			if _, err := tracker.Announce(a); err != nil {
				t.Fatal(err)
			}
			check(fmt.Sprintf("%+v", a))
		}
		deliverLate := func() {
			for _, a := range delayed {
				if rapid.Bool().Draw(t, "delivered") {
					announce(a)
				}
			}
		}
		for range rapid.IntRange(1, 5).Draw(t, "runs") {
			r := run{rapid.SampledFrom([]string{"i", "j"}).Draw(t, "id"), clock.pass(time.Second)}
			leaves := rapid.Bool().Draw(t, "leaves")
			a := Announcement{Server: r.id, Service: "s", StartTime: r.start, Slots: 4}
			for range rapid.IntRange(0, 3).Draw(t, "announcements") {
				clock.pass(100 * time.Millisecond)
				a.Sequence++
				delayed = append(delayed, a)
				if rapid.Bool().Draw(t, "in time") {
					announce(a)
				}
			}
			deliverLate()
			clock.pass(100 * time.Millisecond)
			if !leaves {
				// Its last announcement arrives in time, however late others are.
				a.Sequence++
				announce(a)
				if server := tracker.Server(); server.ID != r.id || server.StartTime != r.start || server.State != fleet.Ready {
					t.Fatalf("%+v after %+v, want that run ready", server, a)
				}
				continue
			}
			stated := rapid.SampledFrom([]int64{0, r.start}).Draw(t, "stated start")
			tracker.Leave(r.id, stated)
			left[r] = true
			check("its leaving")
			deliverLate()
		}
	})
}
