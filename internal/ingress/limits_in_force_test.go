package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// changeLimits puts changed limits in force.
func (s *testServer) changeLimits(change func(*routing.Limits)) {
	limits := *s.limits.Load()
	change(&limits)
	s.limits.Store(&limits)
	s.LimitsChanged()
}

// TestChangedLimitsHoldForBegunHeads guards against a head that was begun before a change
// of the configuration and is read by the limits before it.
func TestChangedLimitsHoldForBegunHeads(t *testing.T) {
	const begun = "GET /a HTTP/1.1\r\nHost: h\r\n"
	begin := func(t *testing.T, timeout time.Duration) (*gomega.WithT, *testServer, *client) {
		g := gomega.NewWithT(t)
		s := newTestServer(t, nil)
		s.changeLimits(func(l *routing.Limits) { l.HeaderTimeout = timeout })
		c := s.dial(t, g)
		c.send(begun)
		time.Sleep(50 * time.Millisecond)
		return g, s, c
	}
	t.Run("shorter time", func(t *testing.T) {
		g, s, c := begin(t, time.Minute)
		s.changeLimits(func(l *routing.Limits) { l.HeaderTimeout = 200 * time.Millisecond })
		g.Expect(c.conn.SetReadDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
		status, _, closes := c.receive()
		g.Expect([]any{status, closes}).To(gomega.Equal([]any{408, true}))
	})
	t.Run("longer time", func(t *testing.T) {
		g, s, c := begin(t, 300*time.Millisecond)
		s.changeLimits(func(l *routing.Limits) { l.HeaderTimeout = time.Minute })
		time.Sleep(600 * time.Millisecond)
		c.send("\r\n")
		status, body, closes := c.receive()
		g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, "/a ", false}))
	})
	t.Run("smaller size", func(t *testing.T) {
		g, s, c := begin(t, time.Minute)
		s.changeLimits(func(l *routing.Limits) { l.HeaderBytes = 100 })
		c.send("X-A: " + strings.Repeat("a", 100) + "\r\n\r\n")
		status, _, closes := c.receive()
		g.Expect([]any{status, closes}).To(gomega.Equal([]any{431, true}))
		g.Expect(s.startedPaths()).To(gomega.BeEmpty())
	})
	t.Run("larger size", func(t *testing.T) {
		g, s, c := begin(t, time.Minute)
		s.changeLimits(func(l *routing.Limits) { l.HeaderBytes = 64 << 10 })
		c.send("X-A: " + strings.Repeat("a", 20<<10) + "\r\n\r\n")
		status, body, _ := c.receive()
		g.Expect([]any{status, body}).To(gomega.Equal([]any{200, "/a "}))
	})
}

// statusOfError returns the status for a body that can't be read.
func statusOfError(err error) int {
	if result.CodeOf(err) == result.BodyTooLarge {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// newBodyServer starts a server that responds with the length of the body.
func newBodyServer(t *testing.T) *testServer {
	return newTestServer(t, func(c *Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				http.Error(w, err.Error(), statusOfError(err))
				return
			}
			_, _ = w.Write(body)
		})
	})
}

// TestChangedLimitsHoldForBegunBodies guards against a body that was begun before a change
// of the configuration and is read by the limit before it.
func TestChangedLimitsHoldForBegunBodies(t *testing.T) {
	const (
		stated  = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n"
		chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n"
	)
	for name, c := range map[string]struct {
		head, end     string
		before, after int64
		want          int
	}{
		"lowered, stated length":  {stated, "", 1 << 20, 100, 413},
		"lowered, chunks":         {chunked, "\r\n0\r\n\r\n", 1 << 20, 100, 413},
		"raised, chunks":          {chunked, "\r\n0\r\n\r\n", 150, 1 << 20, 200},
		"the limit, stated size":  {stated, "", 1 << 20, 200, 200},
		"the limit, chunked size": {chunked, "\r\n0\r\n\r\n", 1 << 20, 200, 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newBodyServer(t)
			s.changeLimits(func(l *routing.Limits) { l.BodyBytes = c.before })
			client := s.dial(t, g)
			client.send(c.head + strings.Repeat("x", 120))
			time.Sleep(50 * time.Millisecond)
			s.changeLimits(func(l *routing.Limits) { l.BodyBytes = c.after })
			client.send(strings.Repeat("x", 80) + c.end)
			status, _, closes := client.receive()
			g.Expect([]any{status, closes}).To(gomega.Equal([]any{c.want, c.want != 200}))
		})
	}
}

// TestLargeBodyIsNotAskedFor guards against a body above the limit that the caller is
// asked to send.
func TestLargeBodyIsNotAskedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newBodyServer(t)
	s.changeLimits(func(l *routing.Limits) { l.BodyBytes = 100 })
	c := s.dial(t, g)
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n")
	status, _, closes := c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{413, true}))
}
