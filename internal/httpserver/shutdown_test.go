package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const testRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// testServer is a server whose handler reports its start and waits for finish.
type testServer struct {
	*Server
	address string
	started chan struct{}
	finish  chan struct{}
	served  chan error
}

func newTestServer(g *gomega.WithT) *testServer {
	s := &testServer{started: make(chan struct{}, 1), finish: make(chan struct{}), served: make(chan error, 1)}
	s.Server = New(Options{Refusal: []byte(testRefusal), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.started <- struct{}{}
		<-s.finish
		_, _ = io.WriteString(w, "complete")
	})})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.address = socket.Addr().String()
	go func() { s.served <- s.Serve(socket) }()
	return s
}

// dial opens a connection and sends bytes on it.
func (s *testServer) dial(t *testing.T, g *gomega.WithT, sent string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, sent)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

func (s *testServer) isRefusingDials() bool {
	conn, err := net.Dial("tcp", s.address)
	if err == nil {
		conn.Close()
	}
	return err != nil
}

// TestShutdownAwaitsRequests guards against a shutdown that cuts off a request in flight,
// goes on listening beside it or leaves an idle connection without a refusal.
func TestShutdownAwaitsRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(g)
	idle := s.dial(t, g, "")
	busy := s.dial(t, g, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-s.started
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	g.Expect(io.ReadAll(idle)).To(gomega.BeEquivalentTo(testRefusal))
	g.Eventually(s.isRefusingDials).Should(gomega.BeTrue())
	g.Consistently(ended, 3*closeLinger).ShouldNot(gomega.Receive())
	close(s.finish)
	response, err := io.ReadAll(busy)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(response)).To(gomega.HaveSuffix("complete"))
	g.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
	g.Eventually(s.served).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
}

// TestShutdownEndsWithItsContext guards against a shutdown that outlasts its context, and
// against one that cuts off what is in flight at that time.
func TestShutdownEndsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(g)
	busy := s.dial(t, g, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.started
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(s.Shutdown(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
	g.Expect(s.isRefusingDials()).To(gomega.BeTrue())
	close(s.finish)
	response, err := io.ReadAll(busy)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(response)).To(gomega.HaveSuffix("complete" + testRefusal))
	g.Eventually(s.served).Should(gomega.Receive(gomega.MatchError(http.ErrServerClosed)))
}

// TestServeAfterShutdown guards against a server that is stopped while it starts and then
// serves on, whether or not the shutdown was complete.
func TestServeAfterShutdown(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, ctx := range map[string]context.Context{"complete": t.Context(), "cancelled": ended} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := New(Options{Handler: http.NotFoundHandler()})
			g.Expect(s.Shutdown(ctx) == nil).To(gomega.Equal(ctx.Err() == nil))
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(s.Serve(socket)).To(gomega.MatchError(http.ErrServerClosed))
			_, err = net.Dial("tcp", socket.Addr().String())
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}
