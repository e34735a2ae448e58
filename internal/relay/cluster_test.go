package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// countOfNodes are statistics that count the nodes which they cover.
type countOfNodes struct{}

func (countOfNodes) Encode() []byte { return []byte{1} }

func (countOfNodes) Merge(encoded [][]byte) ([]byte, error) {
	sum := byte(0)
	for _, part := range encoded {
		sum += part[0]
	}
	return []byte{sum}, nil
}

// cluster runs the distribution of several nodes in one process. Membership and
// leases are what the test says.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	batch   time.Duration
	mu      sync.Mutex
	nodes   map[string]*testNode
	records map[string]member.Record
}

// testNode is one node; its lease is the reader flag of its record.
type testNode struct {
	cluster *cluster
	id      string
	relay   *Relay
	holder  *config.Holder
	scope   tally.TestScope
	changed chan struct{}
	stop    func()
	stopped atomic.Bool
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, store: newFakeStore(), nodes: make(map[string]*testNode), records: make(map[string]member.Record)}
}

func (c *cluster) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	return listener
}

// start starts a node; a node of the same name starts anew with nothing.
func (c *cluster) start(id, region, failureDomain string) *testNode {
	listener := c.listen()
	node := &testNode{cluster: c, id: id, holder: config.NewHolder(), scope: tally.NewTestScope("", nil), changed: make(chan struct{})}
	node.build()
	c.mu.Lock()
	record := c.records[id]
	c.records[id] = member.Record{
		ID: id, IP: "127.0.0.1", ControlPort: listener.Addr().(*net.TCPAddr).Port, Region: region,
		FailureDomain: failureDomain, State: member.Alive, Reader: record.Reader,
	}
	c.nodes[id] = node
	c.mu.Unlock()
	node.run(listener)
	return node
}

func (n *testNode) build() {
	var err error
	n.relay, err = New(Options{
		StoreRegion: "north", BatchDelay: n.cluster.batch, Holder: n.holder, View: n.view, Lease: n, Store: n.cluster.store,
		Dialer: dial.Dialer{LocalIP: "127.0.0.1"}, Events: event.NewRing(n.id, 100, time.Now), Logger: telemetry.DiscardLogger(),
		Scope: n.scope, Traffic: NewTraffic(n.scope), Now: time.Now, Random: rand.Float64,
		Statistics: countOfNodes{},
	})
	if err != nil {
		n.cluster.t.Fatal(err)
	}
}

func (n *testNode) run(listener net.Listener) {
	server := grpc.NewServer()
	n.relay.Register(server)
	go server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.relay.Run(ctx)
	}()
	go n.gossip(ctx)
	go n.watchOrder(ctx)
	n.stop = sync.OnceFunc(func() {
		n.stopped.Store(true)
		server.Stop()
		cancel()
		<-done
	})
	n.cluster.t.Cleanup(n.stop)
}

// gossip names the node's digest to three neighbours.
func (n *testNode) gossip(ctx context.Context) {
	for sleep(ctx, 50*time.Millisecond) {
		var others []string
		for _, record := range n.view().Nodes() {
			if record.ID != n.id && record.State != member.Dead {
				others = append(others, record.ID)
			}
		}
		for _, id := range rank("neighbour "+n.id, others)[:min(3, len(others))] {
			n.cluster.mu.Lock()
			neighbour := n.cluster.nodes[id]
			n.cluster.mu.Unlock()
			if neighbour.stopped.Load() {
				continue
			}
			neighbour.relay.Observe(n.id, n.holder.Current().Digest())
			n.relay.Observe(id, neighbour.holder.Current().Digest())
		}
	}
}

// watchOrder guards I1: the version in force only rises.
func (n *testNode) watchOrder(ctx context.Context) {
	last := uint64(0)
	for {
		changed := n.holder.Changed()
		if version := n.holder.Current().Version(); version < last {
			n.cluster.t.Errorf("node %s went from version %d to %d", n.id, last, version)
		} else {
			last = version
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *testNode) view() *member.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var records []member.Record
	for _, record := range n.cluster.records {
		records = append(records, record)
	}
	return member.NewView(n.cluster.records[n.id], records, nil)
}

// Held implements ReaderLease.
func (n *testNode) Held() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.records[n.id].Reader
}

// Changed implements ReaderLease.
func (n *testNode) Changed() <-chan struct{} {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.changed
}

// edit changes the record of a node.
func (c *cluster) edit(id string, change func(*member.Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.records[id]
	change(&record)
	c.records[id] = record
	close(c.nodes[id].changed)
	c.nodes[id].changed = make(chan struct{})
}

func (c *cluster) setReader(id string, reader bool) {
	c.edit(id, func(record *member.Record) { record.Reader = reader })
}

// kill stops a node; the others learn of it later.
func (c *cluster) kill(id string) {
	c.nodes[id].stop()
	time.AfterFunc(300*time.Millisecond, func() {
		c.edit(id, func(record *member.Record) { record.State, record.Reader = member.Dead, false })
	})
}

// ids returns the ids of the nodes that run, sorted.
func (c *cluster) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, record := range c.records {
		if record.State != member.Dead && !c.nodes[id].stopped.Load() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// fill starts nodes in two domains of each of two regions and names readers.
func (c *cluster) fill(nodesPerDomain int) {
	for _, region := range []string{"north", "south"} {
		for domain := range 2 {
			for i := range nodesPerDomain {
				c.start(fmt.Sprintf("%s-%d-%02d", region, domain, i), region, fmt.Sprintf("%s-%d", region, domain))
			}
		}
		c.setReader(ReaderCandidates(c.nodes["north-0-00"].view(), region)[0], true)
	}
}

// change writes a version through a node and returns it.
func (c *cluster) change(through string) uint64 {
	c.t.Helper()
	snapshot := c.storeElsewhere()
	c.nodes[through].relay.Publish(snapshot)
	return snapshot.Version()
}

func testTarget(success float64) config.Target {
	return config.Target{
		Name: "orders", Service: "orderdesk", Methods: []string{"POST"}, Path: "/orders", Deadline: time.Second,
		Latency: time.Second, LatencyPercent: 99, SuccessPercent: max(success, 1), Priority: config.PriorityOrder,
	}
}

// within fails the test when the condition does not come true in time.
func (c *cluster) within(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Logf("%s: %d ms", what, time.Since(start).Milliseconds())
}

// allAt reports whether every running node has the version in force.
func (c *cluster) allAt(version uint64) bool {
	return c.all(func(node *testNode) bool { return node.holder.Current().Version() == version })
}

func (c *cluster) allServe() bool {
	return c.all(func(node *testNode) bool { return node.relay.MayServe() })
}

// all reports whether the condition holds for every running node.
func (c *cluster) all(condition func(*testNode) bool) bool {
	return !slices.ContainsFunc(c.ids(), func(id string) bool { return !condition(c.nodes[id]) })
}

// storeElsewhere stores a change of which no node hears except from the store.
func (c *cluster) storeElsewhere() *config.Snapshot {
	c.t.Helper()
	editor := config.Editor{Store: c.store, Random: rand.Float64}
	outcome, err := editor.Apply(context.Background(), config.Change{ID: config.NewChangeID(), Targets: []config.TargetUpsert{{Target: testTarget(rand.Float64() * 99)}}})
	if err != nil {
		c.t.Fatal(err)
	}
	return outcome.Snapshot
}
