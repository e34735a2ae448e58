package call

import (
	"context"
	"net"
	"sync/atomic"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// faultInjector breaks connections after a number of bytes. Both ends then see
// a broken connection, as when the process at the other end is killed.
type faultInjector struct {
	// writeBudget and readBudget are the numbers of bytes that may still pass;
	// a negative budget is unlimited.
	writeBudget, readBudget atomic.Int64
}

func newFaultInjector() *faultInjector {
	f := new(faultInjector)
	f.set(-1, -1)
	return f
}

// set sets the byte budgets, which all connections share.
func (f *faultInjector) set(write, read int64) {
	f.writeBudget.Store(write)
	f.readBudget.Store(read)
}

// client returns an HTTP client of the node whose connections are subject to
// the faults.
func (f *faultInjector) client(node *Node) *exchange.Client {
	dial := f.wrap(node.deps.Dialer.DialContext)
	return exchange.NewClient(node.config.exchangeOptions(node.deps, dial, node.config.Calls))
}

// wrap returns a dial function whose connections are subject to the faults.
func (f *faultInjector) wrap(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &faultyConn{conn, f}, nil
	}
}

// consume takes up to n bytes from the budget and returns how many may pass.
func consume(budget *atomic.Int64, n int) int {
	for {
		remaining := budget.Load()
		if remaining < 0 {
			return n
		}
		passed := min(int64(n), remaining)
		if budget.CompareAndSwap(remaining, remaining-passed) {
			return int(passed)
		}
	}
}

type faultyConn struct {
	net.Conn
	injector *faultInjector
}

func (c *faultyConn) Write(p []byte) (int, error) {
	allowed := consume(&c.injector.writeBudget, len(p))
	n, err := c.Conn.Write(p[:allowed])
	if err == nil && allowed < len(p) {
		c.Conn.Close()
		err = net.ErrClosed
	}
	return n, err
}

func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	allowed := consume(&c.injector.readBudget, n)
	if allowed < n {
		c.Conn.Close()
		return allowed, net.ErrClosed
	}
	return n, err
}
