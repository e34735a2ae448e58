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

// windowBytes is the flow control window of streams and connections. A fixed window
// disables the bandwidth estimation of grpc-go, which sends additional pings.
const windowBytes = 1 << 20

// Backoff of reconnections. Exchanges during the backoff fail immediately.
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
	// refs is the number of acquired references.
	refs int
	// dialRefused is set while the latest dial was refused by the node's host.
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
		return nil, errors.Wrapf(err, "create the gRPC client for %s", address)
	}
	c.grpc = conn
	c.client = controlpb.NewMembershipClient(conn)
	return c, nil
}

// dial records whether the node's host refused the connection. A refusal through an
// egress proxy is not recorded, because it may come from the proxy.
func (c *connection) dial(ctx context.Context, dialer dial.Dialer, address string) (net.Conn, error) {
	conn, err := dialer.Dial(ctx, address)
	refused := dialer.EgressProxy == "" && errors.Is(err, syscall.ECONNREFUSED)
	c.dialRefused.Store(refused)
	return conn, err
}
