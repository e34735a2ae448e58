package ingress

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// idleLimits returns limits that differ in the idle time only.
func idleLimits(idle time.Duration) *routing.Limits {
	return &routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: idle}
}

// TestLoweredIdleLimitAnswersReceivedRequests guards against a request that arrived
// before the idle limit was lowered and is discarded without a response.
func TestLoweredIdleLimitAnswersReceivedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		rounds, conns = 10, 200
		lowered       = 20 * time.Millisecond
	)
	s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = time.Nanosecond })
	unanswered := 0
	for range rounds {
		s.limits.Store(idleLimits(time.Minute))
		s.LimitsChanged()
		clients := make([]*client, conns)
		for i := range clients {
			clients[i] = s.dial(t, g)
			clients[i].send(get("/warm"))
			clients[i].receive()
		}
		time.Sleep(2 * lowered)
		for _, c := range clients {
			c.send(get("/x"))
		}
		s.limits.Store(idleLimits(lowered))
		s.LimitsChanged()
		for _, c := range clients {
			if _, err := http.ReadResponse(c.reader, nil); err != nil {
				unanswered++
			}
			c.conn.Close()
		}
	}
	g.Expect(unanswered).To(gomega.BeZero(), "requests without a response, of %d; %d bytes were discarded", rounds*conns, s.counter("discarded_bytes"))
}

// TestIdleLimitDiscardsNoRequest guards against a request that arrives as the idle limit
// passes and is read without being answered. A connection that closes in that moment
// leaves the request unread, so that the caller can repeat it.
func TestIdleLimitDiscardsNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		limit  = 10 * time.Millisecond
		rounds = 300
		// spread is the time around the limit in which the requests are sent.
		spread = 2 * time.Millisecond
	)
	s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = time.Nanosecond })
	answered := 0
	for round := range rounds {
		s.limits.Store(idleLimits(time.Minute))
		s.LimitsChanged()
		c := s.dial(t, g)
		c.send(get("/warm"))
		c.receive()
		s.limits.Store(idleLimits(limit))
		s.LimitsChanged()
		time.Sleep(limit - spread/2 + spread*time.Duration(round)/rounds)
		// The write fails when the server has closed the connection already.
		if _, err := io.WriteString(c.conn, get("/x")); err == nil {
			if _, err := http.ReadResponse(c.reader, nil); err == nil {
				answered++
			}
		}
		c.conn.Close()
	}
	g.Eventually(s.openConns).WithTimeout(5 * time.Second).Should(gomega.BeZero())
	t.Logf("%d of %d requests at the limit were answered", answered, rounds)
	g.Expect(s.counter("discarded_bytes")).To(gomega.BeZero(), "bytes of requests that were read and discarded")
	g.Expect(s.counter("requests")).To(gomega.Equal(int64(rounds+answered)), "requests that were read and not answered")
	g.Expect(s.counter("idle_closed")).NotTo(gomega.BeZero(), "no connection was closed as idle")
}

// TestLoweredIdleLimitLeavesCallersTime guards against a connection that is closed as
// idle before its caller can know of the lowered limit, and that then loses the
// caller's next request.
func TestLoweredIdleLimitLeavesCallersTime(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		notice  = 500 * time.Millisecond
		lowered = 50 * time.Millisecond
	)
	s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = notice })
	before := s.dial(t, g)
	before.send(get("/a"))
	before.receive()
	time.Sleep(2 * lowered)
	changedAt := time.Now()
	s.limits.Store(idleLimits(lowered))
	s.LimitsChanged()
	after := s.dial(t, g)
	after.send(get("/b"))
	after.receive()
	for _, c := range []*client{before, after} {
		time.Sleep(notice / 4)
		c.send(get("/known"))
		status, body, _ := c.receive()
		g.Expect([]any{status, body}).To(gomega.Equal([]any{200, "/known "}), "a request within the previous limit")
	}
	for _, c := range []*client{before, after} {
		c.expectEnd()
	}
	g.Expect(time.Since(changedAt)).To(gomega.BeNumerically(">=", notice))
}

// TestLimitSeenWithoutIdleConnections guards against a limit that was in force while no
// connection was idle and that callers still go by after the next change.
func TestLimitSeenWithoutIdleConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = 2 * time.Second })
	s.limits.Store(idleLimits(50 * time.Millisecond))
	s.idle.Store(&idlePolicy{limit: 50 * time.Millisecond})
	c := s.dial(t, g)
	c.send(get("/a?wait=200"))
	g.Eventually(s.startedPaths).Should(gomega.HaveLen(1))
	for _, limit := range []time.Duration{time.Minute, 50 * time.Millisecond} {
		s.limits.Store(idleLimits(limit))
		s.LimitsChanged()
		time.Sleep(20 * time.Millisecond)
	}
	c.receive()
	time.Sleep(200 * time.Millisecond)
	c.send(get("/known"))
	status, body, _ := c.receive()
	g.Expect([]any{status, body}).To(gomega.Equal([]any{200, "/known "}))
}

// TestEmptyLineAtTheIdleLimitIsNoHead guards against an empty line that arrives as the
// idle limit passes, is taken for the head of a request, and gets a response.
func TestEmptyLineAtTheIdleLimitIsNoHead(t *testing.T) {
	g := gomega.NewWithT(t)
	const rounds, conns = 10, 200
	unasked := 0
	for range rounds {
		s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = time.Nanosecond })
		clients := make([]*client, conns)
		for i := range clients {
			clients[i] = s.dial(t, g)
			clients[i].send(get("/warm"))
			clients[i].receive()
		}
		for _, c := range clients {
			c.send("\r\n")
		}
		limits := idleLimits(time.Nanosecond)
		limits.HeaderTimeout = 20 * time.Millisecond
		s.limits.Store(limits)
		s.LimitsChanged()
		for _, c := range clients {
			if _, err := c.reader.Peek(12); err == nil {
				unasked++
			}
			c.conn.Close()
		}
		g.Expect(s.Close()).To(gomega.Succeed())
	}
	g.Expect(unasked).To(gomega.BeZero(), "responses with no request waiting")
}
