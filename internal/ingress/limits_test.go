package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// TestLargeChunkedBodyIsRefused guards against a body without a stated length that
// exceeds the operators' limit.
func TestLargeChunkedBodyIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	s.limits.Store(&routing.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	c := s.dial(t, g)
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + strings.Repeat("x", 200) + "\r\n0\r\n\r\n")
	status, _, closes := c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{400, true}), "the handler reports the error")
}

// TestSlowHeadIsRefused guards against connections that are held open with a part of a
// head, and against a limit that does not follow the configuration.
func TestSlowHeadIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	s.limits.Store(&routing.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: 150 * time.Millisecond, IdleTimeout: time.Minute})
	c := s.dial(t, g)
	c.send("GET / HT")
	status, _, closes := c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{408, true}))
	c.expectEnd()
}

// TestEmptyLineIsNoHead guards against an empty line behind a request that starts the
// time limit of the next head, and refuses a request that comes in time.
func TestEmptyLineIsNoHead(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	s.limits.Store(&routing.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute})
	c := s.dial(t, g)
	c.send(post("/a?wait=300", "body") + "\r\n")
	c.receive()
	c.send(get("/b"))
	status, body, closes := c.receive()
	g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, "/b ", false}))
	c.send("\r\n")
	g.Expect(c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))).To(gomega.Succeed())
	unasked, _ := c.reader.Peek(12)
	g.Expect(string(unasked)).To(gomega.BeEmpty(), "a response with no request waiting")
}

// TestYieldingHandlerKeepsHeadTimeout guards against a handler that removes the time limit
// of the next head, because it removes the read deadline after the end of its body.
func TestYieldingHandlerKeepsHeadTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			time.Sleep(time.Millisecond)
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
			_, _ = io.WriteString(w, "x")
		})
	})
	s.limits.Store(&routing.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute})
	c := s.dial(t, g)
	c.send(post("/a", "body") + "GET / HT")
	c.receive()
	g.Expect(c.conn.SetReadDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
	status, _, _ := c.receive()
	g.Expect(status).To(gomega.Equal(http.StatusRequestTimeout))
}

// TestIdleConnectionsAreClosed guards against connections that callers leave open and
// that hold memory for longer than the operators allow, and against closing one
// with a request in flight.
func TestIdleConnectionsAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	idle, busy, fresh := s.dial(t, g), s.dial(t, g), s.dial(t, g)
	idle.send(get("/a"))
	idle.receive()
	busy.send(get("/b?wait=500"))
	g.Eventually(s.startedPaths).Should(gomega.HaveLen(2))
	time.Sleep(50 * time.Millisecond)
	g.Expect(s.openConns()).To(gomega.Equal(3), "within the limit")
	// The limit changes while the connections are idle.
	s.limits.Store(&routing.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: 100 * time.Millisecond})
	s.LimitsChanged()
	idle.expectEnd()
	fresh.expectEnd()
	_, body, _ := busy.receive()
	g.Expect(body).To(gomega.Equal("/b "), "a connection with a request stays")
	busy.expectEnd()
}

// idleCloseRounds is the number of requests that are sent while the idle limit of
// their connection ends.
const idleCloseRounds = 4000

// TestIdleCloseKeepsStartedRequests guards against a request that is handled although
// its connection was closed as idle.
func TestIdleCloseKeepsStartedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	var handled atomic.Int64
	s := newTestServer(t, func(c *Config) {
		c.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })
		c.LingerTimeout = 100 * time.Millisecond
		c.IdleLimitNotice = time.Nanosecond
	})
	responses := 0
	for round := range idleCloseRounds {
		long := &routing.Limits{HeaderBytes: 1 << 10, BodyBytes: 100, HeaderTimeout: time.Second, IdleTimeout: time.Hour}
		s.limits.Store(long)
		conn, err := net.Dial("tcp", s.address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reader := bufio.NewReader(conn)
		receive := func() error {
			if _, err := io.WriteString(conn, get("/")); err != nil {
				return err
			}
			_, err := http.ReadResponse(reader, nil)
			return err
		}
		g.Expect(receive()).To(gomega.Succeed())
		responses++
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			time.Sleep(time.Duration(round%60) * time.Microsecond)
			short := *long
			short.IdleTimeout = time.Nanosecond
			s.limits.Store(&short)
			s.LimitsChanged()
		}()
		// Requests that arrive before the close are answered, so that every other one is
		// sent a little later.
		time.Sleep(time.Duration(round%2) * 80 * time.Microsecond)
		if receive() == nil {
			responses++
		}
		<-closed
		g.Expect(conn.Close()).To(gomega.Succeed())
	}
	_ = s.Close()
	g.Expect(handled.Load()).To(gomega.Equal(int64(responses)), "a handled request got no response")
	t.Logf("%d of %d second requests were answered", responses-idleCloseRounds, idleCloseRounds)
	g.Expect(responses).To(gomega.BeNumerically("<", 2*idleCloseRounds), "no connection was closed as idle")
}
