package call

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/standin/backend"
	"rosemaryladder.dev/rosemaryladder/internal/standin/caller"
)

// expectRefusal checks the code of a refusal and that its run state belongs to
// the code.
func expectRefusal(t *testing.T, got testResponse, code result.Code) {
	t.Helper()
	if got.code != fmt.Sprint(int(code)) || got.run != result.RunStateOf(code) {
		t.Errorf("code %q and run %q, want %d and %q: %s", got.code, got.run, code, result.RunStateOf(code), got.content)
	}
}

// TestLimits guards against a limit that is not enforced or not counted, and
// against callers that pose as nodes.
func TestLimits(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: 5, attempts: 2}, standIn)
	scope := tally.NewTestScope("", nil)
	outboundNode := f.nodes[0]
	outboundNode.metrics = newMetrics(scope)
	outboundNode.outbound.metrics = outboundNode.metrics
	expect := func(what, counter string, code result.Code, header http.Header) {
		t.Helper()
		got := f.send(t, testRequest{method: http.MethodGet, path: "/patterns", header: header})
		expectRefusal(t, got, code)
		if snapshot := scope.Snapshot().Counters()["call."+counter+"+"]; snapshot == nil || snapshot.Value() != 1 {
			t.Errorf("%s: counter %s is %v, want 1", what, counter, snapshot)
		}
	}
	expect("large head", "limit_head", result.BodyTooLarge, http.Header{"X-Big": {strings.Repeat("x", 70<<10)}})
	expect("long key", "limit_key", result.BadRequest, http.Header{HeaderKey: {strings.Repeat("k", 129)}})
	// The IP address of the caller does not belong to a node.
	expect("forged hop", "untrusted_hop", result.NodeNotReady, http.Header{headerHop: {"id 1 lookup many 1 0"}})
	outboundNode.inFlight.Add(int64(outboundNode.config.Calls))
	expect("many calls", "limit_calls", result.Overloaded, nil)
	outboundNode.inFlight.Add(-int64(outboundNode.config.Calls))
	outboundNode.Drain()
	expectRefusal(t, f.get(t, "/patterns"), result.Draining)
}

// TestDeadlines guards against a call that expired in the queue and is reported
// as unknown, and against one that was sent to the server and is reported as
// not-run.
func TestDeadlines(t *testing.T) {
	started := make(chan struct{}, 1)
	f := newFleet(t, fleetOptions{nodes: 1, slots: 1, attempts: 3, deadline: 300 * time.Millisecond}, func(int) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-r.Context().Done()
		})
	})
	var group sync.WaitGroup
	group.Go(func() {
		expectRefusal(t, f.get(t, "/patterns/1"), result.DeadlineUnknown)
	})
	<-started
	waiting := testRequest{method: http.MethodGet, path: "/patterns/2", header: http.Header{HeaderDeadline: {"50"}}}
	expectRefusal(t, f.send(t, waiting), result.DeadlineNotRun)
	group.Wait()
}

// slowClaims claims only after the deadline, as an inbound proxy that was
// suspended observes it.
type slowClaims struct {
	*fakeClaims
	delay time.Duration
}

func (s slowClaims) Claim(ctx context.Context, proposed claim.Claim) (claim.Claim, error) {
	time.Sleep(s.delay)
	return s.fakeClaims.Claim(ctx, proposed)
}

// TestLateClaim guards against an order that runs after its deadline because
// the process was suspended while it claimed the key.
func TestLateClaim(t *testing.T) {
	server := &countingServer{runs: make(map[string]int)}
	f := newFleet(t, fleetOptions{nodes: 1, slots: 5, attempts: 3, deadline: 100 * time.Millisecond}, func(int) http.Handler { return server })
	f.nodes[1].inbound.deps.Claimer = slowClaims{f.claims, 120 * time.Millisecond}
	expectRefusal(t, f.order(t, "k1", "flag"), result.DeadlineNotRun)
	if server.runCount("") != 0 {
		t.Errorf("the order ran %d times, want 0", server.runCount(""))
	}
	if len(f.claims.claims) != 0 {
		t.Error("the claim of a call that did not run was not released")
	}
}

// TestStandInCaller guards against a stand-in caller that reports failures of
// its own, and against a repeated order that does not find the retained
// response on another node.
func TestStandInCaller(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 3, slots: 100, attempts: 3, deadline: 5 * time.Second}, standIn)
	classes := []caller.Class{
		{Name: "l", Service: testService, Method: "GET", Path: "/patterns/1", Rate: 100},
		{Name: "o", Service: testService, Method: "POST", Path: "/orders", Rate: 100, Body: 500, AtMostOnce: true},
		{Name: "d", Service: testService, Method: "GET", Path: "/files/1", Rate: 20, Size: 1 << 20},
	}
	reports := caller.Run(context.Background(), caller.Options{Nodes: f.addresses, Duration: 500 * time.Millisecond, Timeout: 10 * time.Second, MaxInFlight: 100, Classes: classes})
	for name, report := range reports {
		if report.Sent == 0 || report.Complete != report.Sent || report.P50 <= 0 {
			t.Errorf("class %s: %+v", name, report)
		}
	}
	for range 10 {
		got := f.order(t, "k1", "flag")
		if got.run != result.Ran || !strings.Contains(got.content, backend.Digest([]byte("flag"))) {
			t.Errorf("a repeated order got headers %v and body %s", got.Header, got.content)
		}
	}
	if load := f.nodes[1].inbound.load(); load.InFlight != 0 || load.Slots != 100 {
		t.Errorf("load after all calls is %+v, want 0 calls in flight and 100 slots", load)
	}
}

// TestStalledCaller guards against a caller that stops reading a download and
// keeps a slot of the server beyond the deadline.
func TestStalledCaller(t *testing.T) {
	f := newFleet(t, fleetOptions{nodes: 1, slots: 1, attempts: 1, deadline: 300 * time.Millisecond}, standIn)
	conn, err := net.Dial("tcp", f.addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /files/1?size=%d HTTP/1.1\r\nHost: %s\r\n\r\n", 100<<20, testService)
	waitUntil(t, "the call runs", func() bool { return f.trackers[1].InFlight() == 1 })
	waitUntil(t, "the call ended", func() bool {
		return f.trackers[1].InFlight() == 0 && f.nodes[0].InFlight() == 0 && f.nodes[1].InFlight() == 0
	})
}
