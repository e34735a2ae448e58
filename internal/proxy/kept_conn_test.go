package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// failingConn runs a function before each write, which fails as after a reset when the
// function returns true.
type failingConn struct {
	*net.TCPConn
	isReset func() bool
}

func (c failingConn) Write(b []byte) (int, error) {
	if c.isReset() {
		return 0, syscall.EPIPE
	}
	return c.TCPConn.Write(b)
}

// resetBeforeWrite returns a dial function. The first connection is reset before its
// write with the given number; before runs first.
func resetBeforeWrite(number int32, before func()) exchange.DialFunc {
	var dials, writes atomic.Int32
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		return failingConn{TCPConn: conn.(*net.TCPConn), isReset: func() bool {
			if writes.Add(1) != number {
				return false
			}
			before()
			return true
		}}, nil
	}
}

// TestServerResetsIdleConnection guards against a non-idempotent request that fails, and
// a server that counts as absent, when the server resets its idle connection just before
// the request is written. The request never ran.
func TestServerResetsIdleConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	var n *testNode
	f := &testFleet{t: t, dial: resetBeforeWrite(2, func() { n.server.CloseClientConnections() })}
	startTestFleet(f, 1, 4)
	n = f.nodes[0]
	expectResponse(g, f.post("1", "order"), "1", "order")
	expectResponse(g, f.post("2", "order"), "2", "order")
	g.Expect(n.backend.runCount("2")).To(gomega.Equal(1))
	g.Expect(n.tracker.Server().State).To(gomega.Equal(fleet.Ready))
	g.Expect(n.crashes.String()).To(gomega.BeEmpty())
}

// TestLeavingServerGetsNoRepeatedRequest guards against a request that is sent once more
// to a server that has announced its leaving when it closed the idle connection.
func TestLeavingServerGetsNoRepeatedRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var n *testNode
	f := &testFleet{t: t, dial: resetBeforeWrite(2, func() {
		n.tracker.Leave("server-a", 1)
		n.server.CloseClientConnections()
	})}
	startTestFleet(f, 1, 4)
	n = f.nodes[0]
	expectResponse(g, f.post("1", "order"), "1", "order")
	g.Expect(f.post("2", "order").status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(n.backend.runCount("2")).To(gomega.BeZero())
	g.Expect(n.tracker.Server().State).To(gomega.Equal(fleet.Draining))
	g.Expect(f.nodes[0].proxy.AwaitSends()).To(gomega.BeTrue())
}
