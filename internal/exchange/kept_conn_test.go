package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// interceptedConn runs a function before each write.
type interceptedConn struct {
	*net.TCPConn
	beforeWrite func(*net.TCPConn)
}

func (c interceptedConn) Write(b []byte) (int, error) {
	c.beforeWrite(c.TCPConn)
	return c.TCPConn.Write(b)
}

// interceptSecondWrite returns a dial function. The second write of the first
// connection runs the given function first.
func interceptSecondWrite(before func(*net.TCPConn)) DialFunc {
	var dials atomic.Int32
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		writes := 0
		return interceptedConn{TCPConn: conn.(*net.TCPConn), beforeWrite: func(conn *net.TCPConn) {
			if writes++; writes == 2 {
				before(conn)
			}
		}}, nil
	}
}

// awaitPeerClose waits until the peer's FIN has been received.
func awaitPeerClose(t *testing.T, conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
		received := false
		_ = raw.Read(func(fd uintptr) bool {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			received = n == 0 && err == nil
			return true
		})
		if received {
			return
		}
	}
	t.Error("the peer did not close the connection")
}

// exchangeOnce sends a request and reads the response to its end.
func exchangeOnce(ctx context.Context, client *Client, address string, request *Request) *Error {
	e, exchangeErr := client.Do(ctx, address, request)
	if exchangeErr != nil {
		return exchangeErr
	}
	_, err := io.Copy(io.Discard, e.Response.Body)
	e.Finish(err == nil)
	return nil
}

// closingServer serves one request on its first connection and then ends it.
type closingServer struct {
	mu   sync.Mutex
	runs map[string]int
	// end ends the first connection after its response.
	end func(conn *net.TCPConn, requests *bufio.Reader)
	// ended is closed when the first connection has ended.
	ended chan struct{}
	conns atomic.Int32
}

func (s *closingServer) serve(conn net.Conn, requests *bufio.Reader) {
	first := s.conns.Add(1) == 1
	for s.run(requests) != "" {
		writeResponse(conn, "", "")
		if first {
			s.end(conn.(*net.TCPConn), requests)
			close(s.ended)
			return
		}
	}
}

// run reads a request and counts it as run. It returns "" when there is none.
func (s *closingServer) run(requests *bufio.Reader) string {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return ""
	}
	id := request.Header.Get("X-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return id
}

// delayACKs makes the kernel acknowledge received bytes late.
func delayACKs(conn *net.TCPConn) {
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_QUICKACK, 0) })
	}
}

// TestCrossedCloses guards against a request that runs twice, or is reported as not
// delivered and has run, when the peer ends a kept connection just as it is sent.
func TestCrossedCloses(t *testing.T) {
	ends := map[string]func(s *closingServer, conn *net.TCPConn, requests *bufio.Reader){
		"closed":                  func(*closingServer, *net.TCPConn, *bufio.Reader) {},
		"reset":                   func(_ *closingServer, conn *net.TCPConn, _ *bufio.Reader) { _ = conn.SetLinger(0) },
		"closed with unread data": func(_ *closingServer, _ *net.TCPConn, requests *bufio.Reader) { _, _ = requests.ReadByte() },
		"run, then closed":        func(s *closingServer, _ *net.TCPConn, requests *bufio.Reader) { s.run(requests) },
		"run, then reset": func(s *closingServer, conn *net.TCPConn, requests *bufio.Reader) {
			s.run(requests)
			_ = conn.SetLinger(0)
		},
		"half-closed, then run": func(s *closingServer, conn *net.TCPConn, requests *bufio.Reader) {
			delayACKs(conn)
			_ = conn.CloseWrite()
			s.run(requests)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				delay := time.Duration(rapid.IntRange(0, 60).Draw(rt, "delay of the request in microseconds")) * time.Microsecond
				bodyBytes := rapid.SampledFrom([]int{0, 100, maxInlineBodyBytes + 1, 1 << 20}).Draw(rt, "body")
				server := &closingServer{runs: make(map[string]int), ended: make(chan struct{})}
				server.end = func(conn *net.TCPConn, requests *bufio.Reader) { end(server, conn, requests) }
				client, address := startServer(t, server.serve)
				defer client.Close()
				for i := range 2 {
					id := strconv.Itoa(i)
					request := newTestRequest(id)
					request.Method, request.Matches = http.MethodPost, nil
					request.Body = &Body{Buffered: make([]byte, bodyBytes*i), Length: int64(bodyBytes * i)}
					for sentAt := time.Now().Add(delay); i > 0 && time.Now().Before(sentAt); {
					}
					exchangeErr := exchangeOnce(t.Context(), client, address, request)
					if i > 0 {
						<-server.ended
					}
					server.mu.Lock()
					runs := server.runs[id]
					server.mu.Unlock()
					if runs > 1 || (exchangeErr == nil && runs != 1) || (exchangeErr != nil && !exchangeErr.MaybeDelivered && runs > 0) {
						rt.Fatalf("request %d ran %d times, error %v", i, runs, exchangeErr)
					}
				}
			})
		})
	}
}

// TestHalfClosedPeerMayRun guards against repeating a request that a peer runs although
// it had already stopped sending on the kept connection.
func TestHalfClosedPeerMayRun(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &closingServer{runs: make(map[string]int), ended: make(chan struct{})}
	closeFirst := make(chan struct{})
	server.end = func(conn *net.TCPConn, requests *bufio.Reader) {
		delayACKs(conn)
		<-closeFirst
		_ = conn.CloseWrite()
		server.run(requests)
	}
	client, address := startServer(t, server.serve)
	client.options.Dial = interceptSecondWrite(func(conn *net.TCPConn) {
		close(closeFirst)
		awaitPeerClose(t, conn)
	})
	for i := range 2 {
		request := newTestRequest(strconv.Itoa(i))
		request.Matches = nil
		exchangeErr := exchangeOnce(t.Context(), client, address, request)
		g.Expect(exchangeErr == nil).To(gomega.Equal(i == 0))
		g.Expect(exchangeErr == nil || exchangeErr.MaybeDelivered).To(gomega.BeTrue())
	}
	<-server.ended
	g.Expect(server.runs).To(gomega.Equal(map[string]int{"0": 1, "1": 1}))
}

// truncatingConn sends only the first bytes of its second write, then fails as after a
// reset.
type truncatingConn struct {
	*net.TCPConn
	writes, limit int
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes < 2 {
		return c.TCPConn.Write(b)
	}
	n, err := c.TCPConn.Write(b[:c.limit])
	if err == nil {
		err = syscall.ECONNRESET
	}
	return n, err
}

// TestTruncatedHeadDidNotArrive guards against a request of unknown outcome when the
// connection broke before the end of its head was written. No peer runs such a request.
func TestTruncatedHeadDidNotArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	server := &closingServer{runs: make(map[string]int), ended: make(chan struct{})}
	server.end = func(_ *net.TCPConn, requests *bufio.Reader) { server.run(requests) }
	client, address := startServer(t, server.serve)
	dials := 0
	client.options.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || dials > 0 {
			return conn, err
		}
		dials++
		return &truncatingConn{TCPConn: conn.(*net.TCPConn), limit: 20}, nil
	}
	for i := range 2 {
		request := newTestRequest(strconv.Itoa(i))
		request.Matches = nil
		g.Expect(exchangeOnce(t.Context(), client, address, request)).To(gomega.BeNil())
	}
	<-server.ended
	g.Expect(server.runs).To(gomega.Equal(map[string]int{"0": 1, "1": 1}))
}
