package httpserver

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// peerPollInterval is the time between two checks whether a peer has left. A caller that
// leaves must be noticed well within half a second, over two hops.
const peerPollInterval = 50 * time.Millisecond

// WithPeer returns a context that ends when the peer of the request with the given context
// has closed its connection. net/http notices that only once the body of the request has
// been read, and a reader that waits may leave it unread. cancel ends the checks.
func WithPeer(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(parent)
	c, ok := parent.Value(connKey{}).(*conn)
	if !ok {
		return ctx, cancel
	}
	go func() {
		ticker := time.NewTicker(peerPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if c.peerLeft() {
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// peerLeft reports whether the peer has closed or reset the connection, also behind bytes
// that are not read.
func (c *conn) peerLeft() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		left = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil
}
