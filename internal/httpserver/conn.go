package httpserver

import (
	"context"
	"net"
	"sync"
	"time"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, netConn net.Conn) context.Context {
	if c, ok := netConn.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// conn is a connection to a Server. Whether a request has begun is decided in
// one place with the arrival of its bytes, so that each request is either handled or
// refused.
type conn struct {
	*net.TCPConn

	mu sync.Mutex
	// busy is set from the first bytes of a request until its response is complete.
	busy bool
	// refused is set once the refusal is sent; what arrives after that is discarded.
	refused bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.isRefused(n) {
			return n, err
		}
	}
}

// isRefused reports whether received bytes are discarded. Otherwise a request has
// begun.
func (c *conn) isRefused(received int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.busy || (received > 0 && !c.refused)
	return c.refused
}

// begin marks a request as begun, because net/http may have read it together with the one
// before it. It returns false when the connection is refused.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.refused
	return c.busy
}

// awaitEnd waits until a refused connection ends. Closing it with unread bytes would reset
// it before the peer has read the refusal.
func (c *conn) awaitEnd() {
	var discarded [1]byte
	// Read discards all bytes and returns only an error.
	_, _ = c.Read(discarded[:])
}

// setIdle marks the response as complete. net/http may have read bytes of the next request
// by then; begin decides whether that request runs.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// refuse sends a refusal and ends the stream to the peer, unless a request has begun.
// The connection ends when the peer closes it, or after closeLinger.
func (c *conn) refuse(refusal []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.refused {
		return
	}
	c.refused = true
	// Errors mean that the peer has closed the connection.
	_ = c.TCPConn.SetDeadline(time.Now().Add(closeLinger))
	if len(refusal) > 0 {
		_, _ = c.Write(refusal)
	}
	_ = c.CloseWrite()
}

// SetReadDeadline implements net.Conn. The deadline of a refused connection stays.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}
