package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// RefusesConnections reports whether the address refuses new connections, at the latest when
// the context ends. A process that ends closes its sockets one by one, and its
// listener may be among the last: a connection that is taken is watched, and when
// the peer breaks it the address is dialled again. The broken connection that leads
// here was dropped, so the bound of connections is exceeded, by one, only when
// another call has taken its place.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	for {
		raw, err := c.options.Dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		broken := breaks(ctx, raw)
		raw.Close()
		if !broken {
			return false
		}
	}
}

// breaks reports whether the peer ends a connection on which nothing is sent before
// the context does.
func breaks(ctx context.Context, raw net.Conn) bool {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now()
	}
	if raw.SetReadDeadline(deadline) != nil {
		return true
	}
	_, err := raw.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}
