package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// testServer is a server whose handler records what it runs.
type testServer struct {
	*Server
	address string
	limits  atomic.Pointer[routing.Limits]
	scope   tally.TestScope

	mu        sync.Mutex
	started   []string
	cancelled []string
}

// newTestServer starts a server. Requests with method GET are idempotent. The handler
// responds with the URI and the body after the milliseconds in the query "wait".
func newTestServer(t testing.TB, change func(*Config)) *testServer {
	s := &testServer{scope: tally.NewTestScope("", nil)}
	s.limits.Store(&routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute})
	config := DefaultConfig()
	config.Handler = http.HandlerFunc(s.handle)
	config.Reject = func(w http.ResponseWriter, status int, _ result.Code, message string) { http.Error(w, message, status) }
	config.Idempotent = func(r *http.Request) bool { return r.Method == http.MethodGet }
	config.Limits = s.limits.Load
	config.Log, config.Scope = telemetry.DiscardLogger(), s.scope
	if change != nil {
		change(&config)
	}
	var err error
	if s.Server, err = NewServer(config); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.started = append(s.started, r.URL.Path)
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		s.mu.Lock()
		s.cancelled = append(s.cancelled, r.URL.Path)
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (s *testServer) startedPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.started...)
}

func (s *testServer) cancelledPaths() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string{}, s.cancelled...)
}

// client is the connection of a caller.
type client struct {
	g      *gomega.WithT
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T, g *gomega.WithT) *client {
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	return &client{g: g, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	_, err := io.WriteString(c.conn, text)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

// receive reads a response and returns its status, its body and whether it closes the
// connection.
func (c *client) receive() (status int, body string, closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	content, err := io.ReadAll(response.Body)
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	return response.StatusCode, string(content), response.Close
}

// expectEnd expects that the server has closed the connection without a reset.
func (c *client) expectEnd() {
	_, err := c.reader.ReadByte()
	c.g.ExpectWithOffset(1, err).To(gomega.Equal(io.EOF))
}

func (s *testServer) openConns() int {
	s.Server.mu.Lock()
	defer s.Server.mu.Unlock()
	return len(s.conns)
}

// counter returns the value of a counter of the server.
func (s *testServer) counter(name string) int64 {
	counter, ok := s.scope.Snapshot().Counters()["ingress."+name+"+"]
	if !ok {
		return 0
	}
	return counter.Value()
}
