package gossip_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/gossip"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// domains are those of the dalhems deployment: two in each of two regions.
var domains = []string{"svealand-a", "svealand-b", "gotaland-a", "gotaland-b"}

// testNode is one node of an in-process fleet on a loopback address.
type testNode struct {
	table      *member.Table
	quarantine *quarantine.List
	exchanger  *gossip.Exchanger
	server     *grpc.Server
	listener   *countingListener
	cancel     context.CancelFunc
	done       chan struct{}
	frozen     atomic.Bool
	version    atomic.Uint64
	// peerVersion is the highest configuration version received from a peer.
	peerVersion atomic.Uint64
}

// countingListener counts the bytes that all accepted connections send and receive.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, &l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func startNode(t testing.TB, index int, seeds []string, client store.Client, options ...func(*gossip.Config)) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	domain := domains[index%len(domains)]
	table, err := member.NewTable(member.DefaultConfig(), member.Record{
		ID:            fmt.Sprintf("host-%03d", index),
		IP:            "127.0.0.1",
		CallPort:      7001,
		ControlPort:   listener.Addr().(*net.TCPAddr).Port,
		OperatorPort:  7003,
		Region:        domain[:len(domain)-2],
		FailureDomain: domain,
		Incarnation:   uint64(time.Now().UnixMilli()),
	}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	list, err := quarantine.New(quarantine.DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	n := &testNode{
		table:      table,
		quarantine: list,
		listener:   &countingListener{Listener: listener},
		done:       make(chan struct{}),
	}
	n.server = grpc.NewServer(append(gossip.ServerOptions(), grpc.UnaryInterceptor(n.intercept))...)
	config := gossip.DefaultConfig()
	for _, option := range options {
		option(&config)
	}
	n.exchanger, err = gossip.New(config, gossip.Dependencies{
		Table:        table,
		Quarantine:   list,
		Dialer:       dial.Dialer{LocalIP: "127.0.0.1"},
		Seeds:        seeds,
		Store:        client,
		IsFirstRelay: func() bool { return member.LowestRanked(table.View(), domain, 1)[0].ID == table.ID() },
		Digest: func() *controlpb.Digest {
			return &controlpb.Digest{Version: n.version.Load(), Hash: 0x0123456789abcdef}
		},
		OnPeerDigest: func(_ string, d *controlpb.Digest) {
			if d.GetVersion() > n.peerVersion.Load() {
				n.peerVersion.Store(d.GetVersion())
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.exchanger.Register(n.server)
	go func() { _ = n.server.Serve(n.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.exchanger.Run(ctx)
	}()
	t.Cleanup(n.kill)
	return n
}

// intercept does not respond to calls while the node is frozen.
func (n *testNode) intercept(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if n.frozen.Load() {
		<-ctx.Done()
	}
	return handle(ctx, request)
}

// freeze stops the process permanently while its host still accepts connections.
func (n *testNode) freeze() {
	n.frozen.Store(true)
	n.cancel()
}

// kill ends the node without an announcement, like SIGKILL.
func (n *testNode) kill() {
	n.cancel()
	n.server.Stop()
	<-n.done
}

func (n *testNode) address() string { return n.listener.Addr().String() }

// startFleet starts nodes with the first one as their seed and waits until every
// node considers all nodes alive.
func startFleet(t testing.TB, size int) []*testNode {
	t.Helper()
	nodes := []*testNode{startNode(t, 0, nil, nil)}
	for i := 1; i < size; i++ {
		nodes = append(nodes, startNode(t, i, []string{nodes[0].address()}, nil))
	}
	await(t, 20*time.Second, "every node considers all nodes alive", func() bool {
		return all(nodes, func(n *testNode) bool { return countAlive(n) == size })
	})
	return nodes
}

// announce makes every node announce a server and waits until all nodes know all
// servers.
func announce(t testing.TB, nodes []*testNode) {
	t.Helper()
	for _, n := range nodes {
		n.table.SetServer(member.Server{Service: "katalog", State: member.ServerReady, Slots: 9, Connections: 120}, time.Now())
	}
	await(t, 5*time.Second, "all nodes know all servers", func() bool {
		return all(nodes, func(n *testNode) bool { return len(n.table.View().Servers("katalog")) == len(nodes) })
	})
}

func countAlive(n *testNode) int {
	count := 0
	for _, record := range n.table.View().Nodes() {
		if record.State == member.Alive {
			count++
		}
	}
	return count
}

func all(nodes []*testNode, condition func(*testNode) bool) bool {
	return !slices.ContainsFunc(nodes, func(n *testNode) bool { return !condition(n) })
}

// await polls until the condition is true and returns how long that took.
func await(t testing.TB, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("timed out after %s waiting until %s", limit, description)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}
