package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// windowBytes is the flow control window of streams and connections. A fixed
// window switches off the bandwidth estimation of grpc-go, which adds pings to
// the messages.
const windowBytes = 1 << 20

// Reconnection delays. An exchange during the delay fails at once.
const (
	reconnectBaseDelay  = 100 * time.Millisecond
	reconnectMaxDelay   = time.Second
	reconnectMultiplier = 1.6
	reconnectJitter     = 0.2
)

// connection is a connection to another node.
type connection struct {
	grpc     *grpc.ClientConn
	client   controlpb.MembershipClient
	lastUsed time.Time
	refs     int
	// dialRefused is set while the newest dial was dialRefused by the node's host.
	dialRefused atomic.Bool
}

func newConnection(address string, dialer dial.Dialer, maxMessageBytes int) (*connection, error) {
	c := &connection{}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return c.dial(ctx, dialer, address)
		}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBaseDelay,
				Multiplier: reconnectMultiplier,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectMaxDelay,
			},
			MinConnectTimeout: dial.DefaultTimeout,
		}),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c.grpc = conn
	c.client = controlpb.NewMembershipClient(conn)
	return c, nil
}

// dial notes whether the node's host refused. Through an egress proxy a refusal
// may be that of the proxy and says nothing about the node.
func (c *connection) dial(ctx context.Context, dialer dial.Dialer, address string) (net.Conn, error) {
	conn, err := dialer.Dial(ctx, address)
	refused := dialer.EgressProxy == "" && errors.Is(err, syscall.ECONNREFUSED)
	c.dialRefused.Store(refused)
	return conn, err
}
