package ingress

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// polledListener passes its connections to a function right before the first poll of
// their sockets.
type polledListener struct {
	net.Listener
	beforePoll func(net.Conn)
}

// Accept implements net.Listener.
func (l *polledListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &polledConn{TCPConn: accepted.(*net.TCPConn)}
	c.beforePoll = sync.OnceFunc(func() { l.beforePoll(c) })
	return c, nil
}

type polledConn struct {
	*net.TCPConn
	beforePoll func()
}

// SyscallConn implements syscall.Conn.
func (c *polledConn) SyscallConn() (syscall.RawConn, error) {
	c.beforePoll()
	return c.TCPConn.SyscallConn()
}

// TestRoomIsMadeAtTheIdleLimit guards against a request that arrived as the idle limit
// passed and is reset unread because its connection is ended to make room in that moment.
func TestRoomIsMadeAtTheIdleLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = time.Nanosecond })
	s.limits.Store(idleLimits(50 * time.Millisecond))
	s.LimitsChanged()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer socket.Close()
	callers := make(chan *client, 1)
	listener := &polledListener{Listener: socket, beforePoll: func(polled net.Conn) {
		// The reader has seen the limit pass and is about to look for a request.
		(<-callers).send(get("/x"))
		time.Sleep(5 * time.Millisecond)
		s.Server.mu.Lock()
		defer s.Server.mu.Unlock()
		for c := range s.conns {
			if c.net == polled && c.expire() {
				s.expiring++
			}
		}
	}}
	s.address = socket.Addr().String()
	c := s.dial(t, g)
	callers <- c
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s.accept(accepted)
	status, body, closes := c.receive()
	g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, "/x ", true}))
}
