package exchange

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// probes is how often a server whose connection broke is dialled to tell
	// whether it is gone.
	probes = 4
	// probeInterval is the time between two of these dials.
	probeInterval = 20 * time.Millisecond
)

// Refuses reports whether the address refuses new connections. It asks more than
// once, because a process that ends closes its sockets one by one and its
// listener may be among the last. The broken connection that leads here was
// dropped, so the bound of connections is exceeded, by one, only when another
// call has taken its place.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	for range probes {
		raw, err := c.options.Dial(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		raw.Close()
		time.Sleep(probeInterval)
	}
	return false
}
