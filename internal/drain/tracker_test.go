package drain_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/drain"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Drain")
}

type snapshots struct{ current *config.Snapshot }

func (s *snapshots) Load() *config.Snapshot { return s.current }

func target(service string) config.Target {
	return config.Target{
		Name: service, Service: service, Methods: []string{"GET"}, Path: "/", Idempotent: true,
		Deadline: time.Second, Latency: 100 * time.Millisecond, LatencyPercent: 99, SuccessPercent: 99,
		Priority: config.PriorityLookup, ChangedAt: 1,
	}
}

var _ = Describe("Tracker", func() {
	var (
		now     time.Time
		tracker *drain.Tracker
		source  *snapshots
		ring    *event.Ring
		changes []member.ServerState
	)

	announce := func(state string) int {
		body := `{"service":"katalog","address":"127.0.0.1:9000","state":"` + state + `","slots":9,"connections":120}`
		recorder := httptest.NewRecorder()
		tracker.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/v1/server", strings.NewReader(body)))
		return recorder.Code
	}

	plan := func(scope config.StopScope) {
		stop := config.Stop{ID: "s1", Scope: scope, At: now.Add(time.Second), Grace: time.Second, Reason: "test", ChangedAt: 1}
		snapshot, err := config.NewSnapshot(config.Document{
			Version: 1, Targets: []config.Target{target("bokning"), target("katalog")}, Stops: []config.Stop{stop},
		})
		Expect(err).NotTo(HaveOccurred())
		source.current = snapshot
	}

	BeforeEach(func() {
		now = time.Date(2026, 5, 16, 12, 0, 0, 0, time.UTC)
		clock := func() time.Time { return now }
		source, changes = &snapshots{}, nil
		ring = event.NewRing("h1", 100, clock)
		var err error
		tracker, err = drain.NewTracker(drain.DefaultConfig("h1", "svealand-a"), source, ring, clock)
		Expect(err).NotTo(HaveOccurred())
		tracker.OnChange(func(server member.Server) { changes = append(changes, server.State) })
	})

	// Guards against calls to a server that is absent.
	It("tracks announcements, the announcement timeout and refused connections", func() {
		Expect(announce("starting")).To(Equal(http.StatusNoContent))
		now = now.Add(2 * time.Second)
		Expect(announce("ready")).To(Equal(http.StatusNoContent))
		now = now.Add(6 * time.Second)
		tracker.Check()
		Expect(tracker.Effective().State).To(Equal(member.ServerReady))
		now = now.Add(time.Millisecond)
		tracker.Check()
		Expect(tracker.Effective().State).To(Equal(member.ServerNone))
		announce("ready")
		tracker.MarkAbsent("127.0.0.1:1")
		tracker.MarkAbsent("127.0.0.1:9000")
		Expect(changes).To(Equal([]member.ServerState{
			member.ServerStarting, member.ServerReady, member.ServerNone, member.ServerReady, member.ServerNone,
		}))
	})

	// Guards against a server that still gets calls after its stop has started, and
	// against a stop that takes effect only at the next periodic check.
	DescribeTable("is leaving as soon as a stop that covers it starts",
		func(scope config.StopScope, covered bool) {
			announce("ready")
			plan(scope)
			Expect(tracker.Effective().State).To(Equal(member.ServerReady))
			now = now.Add(time.Second)
			Expect(tracker.Effective().State == member.ServerLeaving).To(Equal(covered))
		},
		Entry("host", config.StopScope{Host: "h1"}, true),
		Entry("service on the host", config.StopScope{Host: "h1", Service: "katalog"}, true),
		Entry("failure domain", config.StopScope{FailureDomain: "svealand-a"}, true),
		Entry("another service", config.StopScope{Host: "h1", Service: "bokning"}, false),
		Entry("another host", config.StopScope{Host: "h2"}, false),
		Entry("another failure domain", config.StopScope{FailureDomain: "svealand-b"}, false),
	)

	// Guards against calls that run after the grace period without a report to operators.
	It("reports a stop as overdue while calls run after the grace period", func() {
		announce("ready")
		plan(config.StopScope{Host: "h1"})
		tracker.Begin()
		now = now.Add(3 * time.Second)
		tracker.Check()
		tracker.Check()
		Expect(tracker.Status().Stops).To(ConsistOf(HaveField("Overdue", true)))
		Expect(ring.Select(event.Query{Kind: event.KindStop})).To(HaveLen(2))
		tracker.Done()
		Expect(tracker.Status().Stops).To(ConsistOf(HaveField("Overdue", false)))
		Expect(changes).To(Equal([]member.ServerState{member.ServerReady, member.ServerLeaving}))
	})

	// Guards against invalid values of a server in the membership view.
	It("rejects a malformed announcement", func() {
		Expect(announce("gone")).To(Equal(http.StatusBadRequest))
		Expect(tracker.Effective().State).To(Equal(member.ServerNone))
	})

	// Guards against a daemon that accepts new calls during its shutdown.
	It("is leaving permanently once the daemon shuts down", func() {
		announce("ready")
		tracker.MarkLeaving()
		announce("ready")
		Expect(tracker.Effective().State).To(Equal(member.ServerLeaving))
		Expect(changes).To(HaveLen(2))
	})
})
