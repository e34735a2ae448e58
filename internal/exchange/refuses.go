package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// RefusesConnections reports whether the address refuses new connections. It
// returns false when the context ends first. A process that exits closes its
// sockets one by one, and its listener may be among the last: so an accepted
// connection is watched, and the address is dialed again when the peer closes it.
// The broken connection that prompted the check was dropped, so MaxOpen is
// exceeded, by one, only when another call has opened a connection in its place.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	for {
		conn, err := c.options.Dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		closed := peerCloses(ctx, conn)
		conn.Close()
		if !closed {
			return false
		}
	}
}

// peerCloses reports whether the peer closes a connection on which nothing is
// sent before the context ends.
func peerCloses(ctx context.Context, conn net.Conn) bool {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now()
	}
	if conn.SetReadDeadline(deadline) != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}
