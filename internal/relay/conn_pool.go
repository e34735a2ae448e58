package relay

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxConnections is the maximum number of open connections for single
	// requests.
	maxConnections = 8
	// windowBytes is the flow control window of streams and connections.
	windowBytes = 1 << 20
	// maxMessageBytes admits a complete document with its message framing.
	maxMessageBytes = store.MaxValueBytes + 64<<10
)

// connectParams limits how long a pooled connection waits before it reconnects
// to a node or over a link that has recovered. The gRPC default waits up to 2
// min.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: dial.DefaultTimeout,
}

// connPool opens gRPC connections to other nodes and pools some of them for
// single requests.
type connPool struct {
	dialer  dial.Dialer
	view    func() *member.View
	traffic stats.Handler

	mu    sync.Mutex
	conns map[string]*dial.Shared[*grpc.ClientConn]
	// openOrder holds the addresses of conns, oldest connection first.
	openOrder []string
}

func newConnPool(dialer dial.Dialer, view func() *member.View, traffic stats.Handler) *connPool {
	return &connPool{dialer: dialer, view: view, traffic: traffic, conns: make(map[string]*dial.Shared[*grpc.ClientConn])}
}

// dial returns a new connection to the node. The caller closes it.
func (c *connPool) dial(node string) (*grpc.ClientConn, error) {
	address, err := c.address(node)
	if err != nil {
		return nil, err
	}
	return c.dialAddress(address)
}

// shared returns the pooled connection to the node, which it opens when there is none, and
// a function that ends its use.
func (c *connPool) shared(node string) (conn *grpc.ClientConn, release func(), err error) {
	address, err := c.address(node)
	if err != nil {
		return nil, nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pooled, found := c.conns[address]
	if !found {
		conn, err := c.dialAddress(address)
		if err != nil {
			return nil, nil, err
		}
		c.evictOldest()
		pooled = dial.NewShared(conn)
		c.conns[address] = pooled
		c.openOrder = append(c.openOrder, address)
	}
	return pooled.Acquire(), pooled.Release, nil
}

// close closes the pooled connections.
func (c *connPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	clear(c.conns)
	c.openOrder = nil
}

// evictOldest drops the oldest pooled connection when the pool is full. It is closed once
// no request uses it.
func (c *connPool) evictOldest() {
	if len(c.openOrder) < maxConnections {
		return
	}
	c.conns[c.openOrder[0]].Retire()
	delete(c.conns, c.openOrder[0])
	c.openOrder = c.openOrder[1:]
}

func (c *connPool) address(node string) (string, error) {
	record, found := c.view().Node(node)
	if !found {
		return "", errors.Errorf("node %q is not a member", node)
	}
	return record.ControlAddress(), nil
}

// dialAddress connects to a control port. Fixed windows disable the bandwidth
// estimation of grpc-go, which sends extra pings.
func (c *connPool) dialAddress(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithContextDialer(c.dialer.Dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(c.traffic),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithConnectParams(connectParams),
	)
	return conn, errors.Wrapf(err, "connect to %s", address)
}
