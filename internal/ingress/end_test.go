package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestLeavingCallerCancelsAllRequests guards against work for a caller that has left,
// and against a request that is started afterwards, when bytes of the connection are
// unread.
func TestLeavingCallerCancelsAllRequests(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing unread": "", "order": post("/order", "x"), "part of a head": "GET /x HT",
		"more than the buffers": strings.Repeat(get("/more?wait=2000"), 2000),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, func(c *Config) { c.MaxPipelined = 2 })
			c := s.dial(t, g)
			c.send(get("/a?wait=2000") + get("/b?wait=2000") + behind)
			g.Eventually(s.startedPaths).Should(gomega.HaveLen(2))
			leftAt := time.Now()
			g.Expect(c.conn.Close()).To(gomega.Succeed())
			g.Eventually(s.cancelledPaths).WithPolling(time.Millisecond).Should(gomega.ConsistOf("/a", "/b"))
			g.Expect(time.Since(leftAt)).To(gomega.BeNumerically("<", 100*time.Millisecond))
			g.Consistently(s.startedPaths).WithTimeout(300 * time.Millisecond).Should(gomega.HaveLen(2))
			g.Eventually(s.openConns).Should(gomega.BeZero())
		})
	}
}

// TestDrainAnswersWhatWasStarted guards against pipelined requests that are cut off by
// a planned stop, and against a reset that destroys their responses.
func TestDrainAnswersWhatWasStarted(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) { c.MaxPipelined = 6 })
	c := s.dial(t, g)
	for i := range 10 {
		c.send(get(fmt.Sprintf("/%d?wait=300", i)))
	}
	g.Eventually(s.startedPaths).Should(gomega.HaveLen(6))
	s.Drain()
	// The caller sends more than the server reads.
	c.send(get("/late"))
	for i := range 6 {
		status, body, closes := c.receive()
		g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, fmt.Sprintf("/%d ", i), i == 5}))
	}
	time.Sleep(200 * time.Millisecond)
	c.expectEnd()
	g.Expect(s.startedPaths()).To(gomega.HaveLen(6))
	g.Expect(s.Active()).To(gomega.BeZero())
}

// TestDrainAnswersBehindAnUnmarkedResponse guards against a request that is read and
// discarded at a planned stop, because the response before it had begun without
// Connection: close.
func TestDrainAnswersBehindAnUnmarkedResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	finish := make(chan struct{})
	s := newTestServer(t, func(c *Config) {
		handler := c.Handler
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/begun" {
				w.Header().Set("Content-Length", "4")
				_, _ = io.WriteString(w, "ab")
				g.Expect(http.NewResponseController(w).Flush()).To(gomega.Succeed())
				<-finish
				_, _ = io.WriteString(w, "cd")
				return
			}
			handler.ServeHTTP(w, r)
		})
	})
	c := s.dial(t, g)
	c.send(get("/begun"))
	_, err := c.reader.Peek(len("HTTP/1.1 200 OK"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.Drain()
	c.send(get("/behind"))
	g.Eventually(func() int64 { return s.counter("requests") }).Should(gomega.Equal(int64(2)))
	close(finish)
	_, body, closes := c.receive()
	g.Expect([]any{body, closes}).To(gomega.Equal([]any{"abcd", false}))
	status, body, closes := c.receive()
	g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, "/behind ", true}))
	c.expectEnd()
}

// TestShutdownAnswersReadRequests guards against a request that arrives on a kept
// connection as the server ends, is read, and gets no response.
func TestShutdownAnswersReadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		rounds, conns = 40, 50
		// spread is the time around the end in which the requests are sent.
		spread = 2 * time.Millisecond
	)
	total := 0
	for range rounds {
		s := newTestServer(t, nil)
		clients := make([]*client, conns)
		for i := range clients {
			clients[i] = s.dial(t, g)
			clients[i].send(get("/warm"))
			clients[i].receive()
		}
		s.Drain()
		var answered atomic.Int64
		var callers sync.WaitGroup
		for i, c := range clients {
			callers.Go(func() {
				time.Sleep(spread * time.Duration(i) / conns)
				// The write fails when the server has closed the connection already.
				if _, err := io.WriteString(c.conn, get("/x")); err != nil {
					return
				}
				if response, err := http.ReadResponse(c.reader, nil); err == nil {
					answered.Add(1)
					g.Expect(response.Close).To(gomega.BeTrue(), "the response announces the end")
				}
				c.conn.Close()
			})
		}
		time.Sleep(spread / 2)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		s.Shutdown(ctx)
		cancel()
		callers.Wait()
		g.Expect(s.counter("requests")).To(gomega.Equal(conns+answered.Load()), "requests that were read and not answered")
		total += int(answered.Load())
	}
	t.Logf("%d of %d requests at the end were answered", total, rounds*conns)
	g.Expect(total).To(gomega.BeNumerically("<", rounds*conns), "no request crossed the end")
}

// TestShutdownIsNotHeldByAnEmptyLine guards against a stop that waits for its time limit
// because a caller sent an empty line.
func TestShutdownIsNotHeldByAnEmptyLine(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	c := s.dial(t, g)
	c.send(post("/a", "body") + "\r\n")
	c.receive()
	time.Sleep(50 * time.Millisecond)
	s.Drain()
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.Shutdown(ctx)
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 500*time.Millisecond))
}

// TestSlowReceiverGetsTheLastResponse guards against a close that destroys the part
// of a response that is still on its way over a slow link, while bytes of the caller
// are unread.
func TestSlowReceiverGetsTheLastResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 8 << 20
	s := newTestServer(t, func(c *Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
		})
	})
	c := s.dial(t, g)
	c.send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/unread"))
	response, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := io.CopyN(io.Discard, response.Body, size/2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(time.Second)
	c.send(get("/unread"))
	rest, err := io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n + rest).To(gomega.Equal(int64(size)))
}

// TestPanicEndsOneConnection guards against an unexpected error of one request that
// ends the process, or that looks like a complete response.
func TestPanicEndsOneConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) {
		handler := c.Handler
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "12345")
				panic("unexpected")
			}
			handler.ServeHTTP(w, r)
		})
	})
	c, other := s.dial(t, g), s.dial(t, g)
	c.send(get("/a?wait=50") + get("/panic") + get("/b?wait=2000"))
	_, body, _ := c.receive()
	g.Expect(body).To(gomega.Equal("/a "))
	if response, err := http.ReadResponse(c.reader, nil); err == nil {
		_, err = io.ReadAll(response.Body)
		g.Expect(err).To(gomega.HaveOccurred(), "a truncated response looks complete")
	}
	g.Eventually(s.cancelledPaths).Should(gomega.ContainElement("/b"))
	other.send(get("/c"))
	_, body, _ = other.receive()
	g.Expect(body).To(gomega.Equal("/c "))
}

// TestResponseForms guards against responses whose end a caller can't find: without a
// stated length, to HEAD, without a body, to HTTP/1.0.
func TestResponseForms(t *testing.T) {
	g := gomega.NewWithT(t)
	large := strings.Repeat("x", 100_000)
	s := newTestServer(t, func(c *Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/large":
				_, _ = io.WriteString(w, large)
			case "/flushed":
				_, _ = io.WriteString(w, "a")
				g.Expect(http.NewResponseController(w).Flush()).To(gomega.Succeed())
				_, _ = io.WriteString(w, "b")
			case "/none":
				w.WriteHeader(http.StatusNoContent)
			default:
				_, _ = io.WriteString(w, "small")
			}
		})
	})
	c := s.dial(t, g)
	for path, want := range map[string]string{"/large": large, "/flushed": "ab", "/none": "", "/small": "small"} {
		c.send(get(path))
		_, body, _ := c.receive()
		g.Expect(body).To(gomega.Equal(want))
	}
	c.send("HEAD /large HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(200))
	c.send("GET /large HTTP/1.0\r\n\r\n")
	_, body, closes := c.receive()
	g.Expect([]any{len(body), closes}).To(gomega.Equal([]any{len(large), true}))
	c.expectEnd()
}

// TestPanicBeforeTheHeadIsAnswered guards against an unexpected error of one request that
// ends its connection without a response, and cancels the requests behind it.
func TestPanicBeforeTheHeadIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) {
		handler := c.Handler
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				w.Header().Set("X-Server", "x")
				w.WriteHeader(http.StatusOK)
				_, _ = io.WriteString(w, "held")
				panic("unexpected")
			}
			handler.ServeHTTP(w, r)
		})
	})
	c := s.dial(t, g)
	c.send(get("/panic") + get("/behind?wait=50"))
	response, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(response.Header.Get("X-Server") + string(body)).NotTo(gomega.ContainSubstring("held"))
	g.Expect(response.Header).NotTo(gomega.HaveKey("X-Server"))
	_, behind, _ := c.receive()
	g.Expect(behind).To(gomega.Equal("/behind "))
	g.Expect(s.counter("panics")).To(gomega.Equal(int64(1)))
	c.send(post("/panic", "a body that is not read"))
	status, _, closes := c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{http.StatusBadGateway, true}))
	c.expectEnd()
}
