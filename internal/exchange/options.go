package exchange

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Client. All fields but MaxOpen and UnackedTimeout are required.
type Options struct {
	Dial DialFunc
	// MaxOpen returns the maximum number of connections to one address, in use
	// and idle together; nil means no bound.
	MaxOpen func() int
	// MaxIdle is the number of idle connections kept to one address.
	MaxIdle int
	// IdleTimeout is how long a connection may stay idle, unless the peer
	// announced a shorter time.
	IdleTimeout time.Duration
	// MaxHeadBytes bounds the head of a response.
	MaxHeadBytes int
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection; 0 for the kernel's default. It does not apply while the
	// rest of a body is sent, which a peer may read only when a server takes it.
	UnackedTimeout time.Duration
	Now            func() time.Time
}
