package proxy

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
)

// TestInvalidLimitsAreRejected guards against a limit that is no decimal number and is
// taken for 0, for infinity or for no limit.
func TestInvalidLimitsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	read := func(limit string) (ServerNotice, error) {
		return ReadServerNotice(testHeaders, http.Header{testHeaders.ServerLimit: {limit}})
	}
	for text, want := range map[string]float64{"": slots.NoLimit, "0": 0, "0.25": 0.25, "12": 12, "12.50": 12.5} {
		notice, err := read(text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), text)
		g.Expect(notice.Limit).To(gomega.Equal(want), text)
	}
	for _, text := range []string{"-1", "1e3", "NaN", "Inf", "0x10", "1,5", "12 ", ".", "1.", ".5", "much", "9999999999999999999", "1_000"} {
		_, err := read(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
	g.Expect(ReadServerNotice(testHeaders, http.Header{testHeaders.ServerLeaving: {"1"}})).To(gomega.Equal(ServerNotice{Limit: slots.NoLimit, Leaving: true}))
}

// limitedFleet starts nodes whose first server adds headers to its responses, which the
// returned function changes.
func limitedFleet(t *testing.T, nodes int) (f *testFleet, setHeader func(name, value string)) {
	f = newTestFleet(t, nodes, 8)
	var mu sync.Mutex
	header := make(http.Header)
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		for name := range header {
			w.Header().Set(name, header.Get(name))
		}
		if r.URL.Path == "/post/failure" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}
	return f, func(name, value string) {
		mu.Lock()
		defer mu.Unlock()
		header.Set(name, value)
	}
}

// TestRequestsBeyondTheLimitGoElsewhere guards against a limit that causes refusals while
// other servers have room, and against one that a response without a number ends.
func TestRequestsBeyondTheLimitGoElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	f, setHeader := limitedFleet(t, 2)
	limited := f.nodes[0]
	setHeader(testHeaders.ServerLimit, "2")
	for limited.slots.Load().Limit == 0 {
		g.Expect(f.get("first").status).To(gomega.Equal(http.StatusOK))
	}
	setHeader(testHeaders.ServerLimit, "plenty")
	started := time.Now()
	before := totalRuns(limited)
	for i := range 100 {
		g.Expect(f.get(fmt.Sprint("lookup-", i)).status).To(gomega.Equal(http.StatusOK))
	}
	allowed := 2*time.Since(started).Seconds() + 2
	g.Expect(float64(totalRuns(limited) - before)).To(gomega.BeNumerically("<=", allowed))
	g.Expect(limited.slots.Load().Limit).To(gomega.Equal(2.0), "an invalid limit changes nothing")
	g.Expect(totalRuns(f.nodes[1])).To(gomega.BeNumerically(">", 50))
}

// TestRefusalBeyondTheLimitIsTrue guards against a request that waits until its deadline,
// or is said not to have run although it has, when the limit of the only server leaves no
// room for it.
func TestRefusalBeyondTheLimitIsTrue(t *testing.T) {
	g := gomega.NewWithT(t)
	f, setHeader := limitedFleet(t, 1)
	setHeader(testHeaders.ServerLimit, "0")
	g.Expect(f.post("first", "body").status).To(gomega.Equal(http.StatusOK))
	// The request that shows whether the limit still holds.
	g.Expect(f.post("second", "body").status).To(gomega.Equal(http.StatusOK))
	started := time.Now()
	got := f.post("third", "body")
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), got.body)
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	g.Expect(f.nodes[0].backend.runCount("third")).To(gomega.BeZero())
}

// TestLimitEndsWithItsServer guards against the limit of a server that is kept for the
// next one at its address.
func TestLimitEndsWithItsServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f, setHeader := limitedFleet(t, 1)
	n := f.nodes[0]
	setHeader(testHeaders.ServerLimit, "1")
	g.Expect(f.get("first").status).To(gomega.Equal(http.StatusOK))
	g.Expect(n.slots.Load().Limit).To(gomega.Equal(1.0))
	n.proxy.ServerChanged()
	g.Expect(n.slots.Load().Limit).To(gomega.BeZero())
}

// TestLeavingResponseStopsTheServer guards against a server that gets requests after a
// response has said that it leaves, also when that response is a failure, and also while
// the entry of the server still says that it is ready.
func TestLeavingResponseStopsTheServer(t *testing.T) {
	for _, path := range []string{"/post/x", "/post/failure"} {
		t.Run(path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f, setHeader := limitedFleet(t, 2)
			n := f.nodes[0]
			setHeader(testHeaders.ServerLeaving, "1")
			for i := 0; totalRuns(n) == 0; i++ {
				f.send(t.Context(), http.MethodPost, path, string(rune('A'+i)), "body")
			}
			g.Eventually(func() fleet.State { return n.tracker.Server().State }).Should(gomega.Equal(fleet.Draining))
			runs := totalRuns(n)
			// A new process of the node knows nothing of the response.
			_, err := n.tracker.Announce(instance.Announcement{Server: "server-a", Service: testService, Slots: 8, StartTime: 2})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(n.tracker.Server().State).To(gomega.Equal(fleet.Ready))
			for i := range 20 {
				f.send(t.Context(), http.MethodPost, path, string(rune('a'+i)), "body")
			}
			g.Expect(totalRuns(n)).To(gomega.Equal(runs))
		})
	}
}

// TestUnsignedResponseChangesNothing guards against a limit or a leaving that bytes bring
// which are not a response of the server to this request.
func TestUnsignedResponseChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 8)
	n := f.nodes[0]
	n.backend.handle = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testHeaders.ServerLimit, "0")
		w.Header().Set(testHeaders.ServerLeaving, "1")
		w.Header().Del(testHeaders.Signature)
	}
	g.Expect(f.post("a", "body").status).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(n.slots.Load().Limit).To(gomega.BeZero())
	g.Consistently(func() fleet.State { return n.tracker.Server().State }).WithTimeout(100 * time.Millisecond).Should(gomega.Equal(fleet.Ready))
}

// TestReportsOfEarlierVersionsAreRead guards against responses of nodes without limits in
// their reports that are rejected during an update of the fleet.
func TestReportsOfEarlierVersionsAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	want := balance.Report{Running: 1, Waiting: 2, Slots: 3, HoldTime: 4 * time.Microsecond, FailureRate: 0.005, TotalTime: 6 * time.Microsecond, ServiceTime: 7 * time.Microsecond}
	g.Expect(parseReport("1 2 3 4 5 6 7")).To(gomega.Equal(want))
	want.Limit = 12.5
	g.Expect(parseReport(formatReport(want))).To(gomega.Equal(want))
	for _, text := range []string{"", "1 2 3 4 5 6", "1 2 3 4 5 6 7 -1", "1 2 3 4 5 6 7 x"} {
		_, err := parseReport(text)
		g.Expect(err).To(gomega.HaveOccurred(), text)
	}
}

// TestLeavingServersStayBounded guards against a list of leaving servers that grows
// without bound.
func TestLeavingServersStayBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	var l leavingServers
	now := time.Unix(1000, 0)
	for i := range 2 * maxLeavingServers {
		l.add(now.Add(time.Duration(i)*time.Millisecond), string(rune(i)))
	}
	g.Expect(*l.servers.Load()).To(gomega.HaveLen(maxLeavingServers))
	g.Expect(l.contains(string(rune(2*maxLeavingServers - 1)))).To(gomega.BeTrue())
	l.add(now.Add(2*leavingRetention), "last")
	g.Expect(*l.servers.Load()).To(gomega.HaveLen(1))
}

// totalRuns returns the number of requests that the server of a node has run.
func totalRuns(n *testNode) int {
	n.backend.mu.Lock()
	defer n.backend.mu.Unlock()
	total := 0
	for _, runs := range n.backend.runs {
		total += runs
	}
	return total
}
