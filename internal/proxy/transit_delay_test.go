package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestTransitDelayIsDetected guards against running a request that a partitioned or
// congested link delayed until its outbound proxy and its caller have timed out.
func TestTransitDelayIsDetected(t *testing.T) {
	g := gomega.NewWithT(t)
	delay := newTransitDelay()
	const origin = 40 * time.Hour
	excess := func(sent, transit time.Duration) time.Duration { return delay.excess("a", sent, origin+sent+transit) }
	g.Expect(excess(0, 5*time.Millisecond)).To(gomega.BeZero(), "the first request has nothing to compare with")
	g.Expect(excess(time.Second, 2*time.Millisecond)).To(gomega.BeZero())
	g.Expect(excess(2*time.Second, 900*time.Millisecond)).To(gomega.Equal(898 * time.Millisecond))
	g.Expect(delay.excess("b", 0, time.Minute)).To(gomega.BeZero(), "each clock has its own origin")
	for i := range 30 {
		excess(time.Duration(i+3)*time.Second, 50*time.Millisecond)
	}
	g.Expect(excess(40*time.Second, 60*time.Millisecond)).To(gomega.Equal(10*time.Millisecond), "the estimate follows a longer path")
}

// TestHopRoundTrip guards against a hop that differs after formatting and parsing.
func TestHopRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	want := hop{service: "s", route: "r", remaining: time.Second, due: 300 * time.Millisecond, maxWait: 20 * time.Millisecond,
		priority: 2, idempotent: true, sent: 80 * 24 * time.Hour, clockID: "c"}
	got, err := parseHop(want.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(want))
	_, err = parseHop("s r 1 2 3 4 many -5 c")
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestRebootedHostIsNotDelayed guards against an inbound proxy that refuses each
// request of a rebooted host as delayed, because the clock of its timestamps restarted.
func TestRebootedHostIsNotDelayed(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	send := func(sent time.Duration, clock string) string {
		h := hop{service: testService, route: "get", remaining: time.Second, due: 500 * time.Millisecond, maxWait: 50 * time.Millisecond, sent: sent, clockID: clock}
		request, err := http.NewRequest(http.MethodGet, f.nodes[0].inbound.URL+"/get/1", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set(headerHop, h.String())
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(response.Body.Close()).To(gomega.Succeed())
		return response.Header.Get(headerOutcome)
	}
	accepted := strconv.Itoa(int(result.OK))
	g.Expect(send(30*24*time.Hour, "before")).To(gomega.Equal(accepted))
	g.Expect(send(30*24*time.Hour-5*time.Second, "before")).To(gomega.Equal(strconv.Itoa(int(result.DeadlineNotRun))), "delayed by 5 s")
	g.Expect(send(time.Minute, "after")).To(gomega.Equal(accepted))
}
