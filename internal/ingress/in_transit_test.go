package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// slowReceiver returns a client whose receive buffer is small, so that a response stays
// in the server's send queue until it is read.
func (s *testServer) slowReceiver(t *testing.T, g *gomega.WithT) *client {
	c := s.dial(t, g)
	g.Expect(c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(gomega.Succeed())
	return c
}

// TestIdleCloseKeepsResponseInTransit guards against an idle close that resets a
// connection whose last response is still in the send queue, when the caller's next
// request arrives.
func TestIdleCloseKeepsResponseInTransit(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 256 << 10
	s := newTestServer(t, func(c *Config) {
		c.IdleLimitNotice = time.Nanosecond
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
		})
	})
	s.limits.Store(idleLimits(200 * time.Millisecond))
	s.LimitsChanged()
	c := s.slowReceiver(t, g)
	c.send(get("/a"))
	g.Eventually(s.Active).Should(gomega.BeZero())
	time.Sleep(400 * time.Millisecond)
	// The caller sends a further safe request before it has received the response.
	_, _ = io.WriteString(c.conn, get("/b"))
	g.Expect(c.conn.(*net.TCPConn).SetReadBuffer(1 << 20)).To(gomega.Succeed())
	response, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := io.Copy(io.Discard, response.Body)
	g.Expect(fmt.Sprint(n, " ", err)).To(gomega.Equal(fmt.Sprint(size, " <nil>")))
}

// TestShutdownKeepsResponseInTransit guards against the end of the server that resets a
// connection whose response, begun before the drain, is still in the send queue.
func TestShutdownKeepsResponseInTransit(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 256 << 10
	written := make(chan struct{})
	drained := make(chan struct{})
	var once sync.Once
	s := newTestServer(t, func(c *Config) {
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size/2))
			once.Do(func() { close(written) })
			<-drained
			_, _ = w.Write(make([]byte, size/2))
		})
	})
	c := s.slowReceiver(t, g)
	c.send(get("/a"))
	<-written
	s.Drain()
	close(drained)
	g.Eventually(s.Active).Should(gomega.BeZero())
	ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
	defer cancel()
	go s.Shutdown(ctx)
	time.Sleep(50 * time.Millisecond)
	_, _ = io.WriteString(c.conn, get("/b"))
	g.Expect(c.conn.(*net.TCPConn).SetReadBuffer(1 << 20)).To(gomega.Succeed())
	response, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := io.Copy(io.Discard, response.Body)
	g.Expect(fmt.Sprint(n, " ", err)).To(gomega.Equal(fmt.Sprint(size, " <nil>")))
}

// TestMakingRoomKeepsResponseInTransit guards against a connection that is ended to make
// room, with the head of its next request incomplete, and reset while its last response
// is in the send queue, when further bytes of the caller arrive.
func TestMakingRoomKeepsResponseInTransit(t *testing.T) {
	g := gomega.NewWithT(t)
	const size, conns = 256 << 10, 8
	s := newTestServer(t, func(c *Config) {
		c.MaxConns = conns
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
		})
	})
	c := s.slowReceiver(t, g)
	c.send(get("/a"))
	g.Eventually(func() int64 { return s.counter("requests") }).Should(gomega.Equal(int64(1)))
	g.Eventually(s.Active).Should(gomega.BeZero())
	c.send("GET /b HTTP/1.1\r\n")
	time.Sleep(20 * time.Millisecond)
	for range conns {
		s.dial(t, g)
	}
	g.Eventually(func() int64 { return s.counter("rejected") }).Should(gomega.Equal(int64(1)))
	time.Sleep(50 * time.Millisecond)
	// The caller sends the rest of the head before it has received the response.
	_, _ = io.WriteString(c.conn, "Host: h\r\n\r\n")
	g.Expect(c.conn.(*net.TCPConn).SetReadBuffer(1 << 20)).To(gomega.Succeed())
	response, err := http.ReadResponse(c.reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	n, err := io.Copy(io.Discard, response.Body)
	g.Expect(fmt.Sprint(n, " ", err)).To(gomega.Equal(fmt.Sprint(size, " <nil>")))
	status, _, closes := c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{http.StatusRequestTimeout, true}))
}
