package call

import (
	"context"
	"net"
	"sync/atomic"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// breaker breaks connections after a number of bytes. Both ends then see a
// broken connection, as when the process at the other end is killed.
type breaker struct {
	// writeLeft and readLeft are the bytes that may still pass; negative is no
	// bound.
	writeLeft, readLeft atomic.Int64
}

func newBreaker() *breaker {
	b := new(breaker)
	b.set(-1, -1)
	return b
}

// set allows the given numbers of bytes on all connections together.
func (b *breaker) set(write, read int64) {
	b.writeLeft.Store(write)
	b.readLeft.Store(read)
}

// client returns a client of the node whose connections break.
func (b *breaker) client(node *Node) *exchange.Client {
	dial := b.wrap(node.deps.Dialer.DialContext)
	return exchange.NewClient(node.config.exchangeOptions(node.deps, dial, node.config.Calls))
}

// wrap makes a dial function return connections that break.
func (b *breaker) wrap(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &breakingConn{conn, b}, nil
	}
}

// take returns how many of n bytes may pass.
func take(left *atomic.Int64, n int) int {
	for {
		have := left.Load()
		if have < 0 {
			return n
		}
		passed := min(int64(n), have)
		if left.CompareAndSwap(have, have-passed) {
			return int(passed)
		}
	}
}

type breakingConn struct {
	net.Conn
	breaker *breaker
}

func (c *breakingConn) Write(p []byte) (int, error) {
	allowed := take(&c.breaker.writeLeft, len(p))
	n, err := c.Conn.Write(p[:allowed])
	if err == nil && allowed < len(p) {
		c.Conn.Close()
		err = net.ErrClosed
	}
	return n, err
}

func (c *breakingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	allowed := take(&c.breaker.readLeft, n)
	if allowed < n {
		c.Conn.Close()
		return allowed, net.ErrClosed
	}
	return n, err
}
