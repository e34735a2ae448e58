package platformscenario

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

const (
	// limitSettling is the time from the first response that names a limit until the
	// limit must be kept, and limitWindow the time over which requests are counted.
	limitSettling = 3 * time.Second
	limitWindow   = 4 * time.Second
	// limitRatio and limitSlack are how much a server may get beyond its limit.
	limitRatio = 1.5
	limitSlack = 5
	// leavingSettling is the time after a response that says that its server leaves
	// from which on the server gets no request.
	leavingSettling = 2 * time.Second
)

// TestNamedLimitIsKept guards against a server that gets more requests than the limit
// which its responses name, while callers at all hosts press and a sidecar is restarted.
// What the server can't take must be served by the others.
func TestNamedLimitIsKept(t *testing.T) {
	for _, limit := range []string{"12.5", "0.4", "0"} {
		t.Run(limit, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := startReady(t, 4)
			callers := startLookups(d, 12)
			time.Sleep(time.Second)
			namedAt := time.Now()
			d.App(0).SetHeaders(http.Header{"Server-Limit": {limit}})
			time.Sleep(4 * time.Second)
			g.Expect(d.Signal(1, syscall.SIGTERM)).To(gomega.Succeed())
			g.Expect(d.WaitExit(1, exitTimeout)).To(gomega.Succeed())
			g.Expect(d.StartNode(1)).To(gomega.Succeed())
			time.Sleep(4 * time.Second)
			endedAt := time.Now()
			d.App(0).SetHeaders(http.Header{})
			time.Sleep(3 * time.Second)
			callers.stop()
			perSecond, err := strconv.ParseFloat(limit, 64)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			allowed := limitRatio*perSecond*limitWindow.Seconds() + limitSlack
			most := mostWithin(d.App(0).SentTimes(), namedAt.Add(limitSettling), endedAt)
			after := countAfter(d.App(0).SentTimes(), endedAt)
			t.Logf("at most %d requests in %s, %.0f allowed; %d in the 3 s after the limit; %d lookups, %d refused, %d failed",
				most, limitWindow, allowed, after, callers.sent.Load(), callers.refused.Load(), callers.failed.Load())
			g.Expect(float64(most)).To(gomega.BeNumerically("<=", allowed))
			g.Expect(after).To(gomega.BeNumerically(">", 50), "the server is used again once it names no limit")
			g.Expect(callers.refused.Load()*20).To(gomega.BeNumerically("<", callers.sent.Load()), "the other servers have room")
		})
	}
}

// TestLeavingResponseEndsRequests guards against a server that gets requests although its
// responses say that it leaves, when it sends no check-ins, the store is away and the
// sidecar beside it restarts without a memory of it.
func TestLeavingResponseEndsRequests(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprintf("restart=%v", restart), func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := startReady(t, 4)
			callers := startLookups(d, 12)
			time.Sleep(time.Second)
			d.Store.SetFaults(store.Faults{Unavailable: true})
			d.App(0).Silence()
			saidAt := time.Now()
			d.App(0).SetHeaders(http.Header{"Server-Leaving": {"1"}})
			time.Sleep(time.Second)
			if restart {
				g.Expect(d.Signal(0, syscall.SIGKILL)).To(gomega.Succeed())
				g.Expect(d.WaitExit(0, exitTimeout)).To(gomega.Succeed())
				g.Expect(d.StartNode(0)).To(gomega.Succeed())
			}
			time.Sleep(4 * time.Second)
			callers.stop()
			late := countAfter(d.App(0).SentTimes(), saidAt.Add(leavingSettling))
			t.Logf("%d requests later than %s; %d lookups, %d refused, %d failed", late, leavingSettling, callers.sent.Load(), callers.refused.Load(), callers.failed.Load())
			g.Expect(late).To(gomega.BeZero())
		})
	}
}

// mostWithin returns the most times within limitWindow, from a time to another.
func mostWithin(times []time.Time, from, to time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		if at.Before(from) {
			first = i + 1
			continue
		}
		if at.After(to) {
			break
		}
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func countAfter(times []time.Time, limit time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// lookups are callers that send idempotent requests at all hosts that are ready.
type lookups struct {
	sent, refused, failed atomic.Int64
	stopped               atomic.Bool
	group                 sync.WaitGroup
}

func startLookups(d *Deployment, callers int) *lookups {
	l := &lookups{}
	for caller := range callers {
		l.group.Go(func() { l.run(d, caller) })
	}
	return l
}

func (l *lookups) run(d *Deployment, caller int) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; !l.stopped.Load(); i++ {
		host := (caller + i) % d.Hosts()
		if !d.Ready(host) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+d.OutboundAddress(host)+"/get/x", nil)
		if err != nil {
			panic(err)
		}
		request.Host = "orders.example"
		request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("lookup-%d-%d", caller, i))
		request.Header.Set("X-Rosemaryladder-Deadline-Ms", "2000")
		l.sent.Add(1)
		response, err := client.Do(request)
		if err != nil {
			l.failed.Add(1)
			continue
		}
		// A body that breaks off shows in the status of the next requests only.
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		switch response.StatusCode {
		case http.StatusOK:
		case http.StatusServiceUnavailable:
			l.refused.Add(1)
		default:
			l.failed.Add(1)
		}
	}
}

func (l *lookups) stop() {
	l.stopped.Store(true)
	l.group.Wait()
}
