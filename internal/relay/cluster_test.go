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

// nodeCount implements Statistics by counting the nodes that a report covers.
type nodeCount struct{}

func (nodeCount) Encode() []byte { return []byte{1} }

func (nodeCount) Merge(encoded [][]byte) ([]byte, error) {
	total := byte(0)
	for _, count := range encoded {
		total += count[0]
	}
	return []byte{total}, nil
}

// cluster runs the distribution of several nodes in one process. The test sets
// membership and leases.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	batch   time.Duration
	mu      sync.Mutex
	nodes   map[string]*testNode
	records map[string]member.Record
}

// testNode is one node. It holds the reader lease when its record says so.
type testNode struct {
	cluster   *cluster
	id        string
	relay     *Relay
	holder    *config.Holder
	scope     tally.TestScope
	events    *event.Ring
	changed   chan struct{}
	stop      func()
	stopRelay func()
	stopped   atomic.Bool
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

// start starts a node. A node that is started again has no configuration.
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
	n.events = event.NewRing(n.id, 100, time.Now)
	n.relay, err = New(Options{
		StoreRegion: "north", BatchDelay: n.cluster.batch, Holder: n.holder, View: n.view, Lease: n, Store: n.cluster.store,
		Dialer: dial.Dialer{LocalIP: "127.0.0.1"}, Events: n.events, Logger: telemetry.DiscardLogger(),
		Scope: n.scope, Traffic: NewTraffic(n.scope), Now: time.Now, Random: rand.Float64,
		Statistics: nodeCount{},
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
	n.stopRelay = cancel
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.relay.Run(ctx)
	}()
	go n.gossip(ctx)
	go n.checkVersionOrder(ctx)
	n.stop = sync.OnceFunc(func() {
		n.stopped.Store(true)
		server.Stop()
		cancel()
		<-done
	})
	n.cluster.t.Cleanup(n.stop)
}

// gossip exchanges digests with three neighbours.
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

// checkVersionOrder guards invariant I1: the version in force never decreases.
func (n *testNode) checkVersionOrder(ctx context.Context) {
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

// editRecord changes the record of a node and signals a lease change.
func (c *cluster) editRecord(id string, change func(*member.Record)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.records[id]
	change(&record)
	c.records[id] = record
	close(c.nodes[id].changed)
	c.nodes[id].changed = make(chan struct{})
}

func (c *cluster) setReader(id string, reader bool) {
	c.editRecord(id, func(record *member.Record) { record.Reader = reader })
}

// kill stops a node. The others consider it dead 300 ms later.
func (c *cluster) kill(id string) {
	c.nodes[id].stop()
	time.AfterFunc(300*time.Millisecond, func() {
		c.editRecord(id, func(record *member.Record) { record.State, record.Reader = member.Dead, false })
	})
}

// runningIDs returns the ids of the running nodes, sorted.
func (c *cluster) runningIDs() []string {
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

// startRegions starts nodes in two failure domains of each of two regions and
// gives one node of each region the reader lease.
func (c *cluster) startRegions(nodesPerDomain int) {
	for _, region := range []string{"north", "south"} {
		for domain := range 2 {
			for i := range nodesPerDomain {
				c.start(fmt.Sprintf("%s-%d-%02d", region, domain, i), region, fmt.Sprintf("%s-%d", region, domain))
			}
		}
		c.setReader(ReaderCandidates(c.nodes["north-0-00"].view(), region)[0], true)
	}
}

// applyChange stores a new version, publishes it on a node and returns it.
func (c *cluster) applyChange(id string) uint64 {
	c.t.Helper()
	snapshot := c.storeChange()
	c.nodes[id].relay.Publish(snapshot)
	return snapshot.Version()
}

func testTarget(success float64) config.Target {
	return config.Target{
		Name: "orders", Service: "orderdesk", Methods: []string{"POST"}, Path: "/orders", Deadline: time.Second,
		Latency: time.Second, LatencyPercent: 99, SuccessPercent: max(success, 1), Priority: config.PriorityOrder,
	}
}

// eventually fails the test when the condition is not met within the limit.
func (c *cluster) eventually(limit time.Duration, description string, condition func() bool) {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.t.Fatalf("condition not met within %s: %s", limit, description)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Logf("%s: %d ms", description, time.Since(start).Milliseconds())
}

// allHaveVersion reports whether every running node has the version in force.
func (c *cluster) allHaveVersion(version uint64) bool {
	return c.allNodes(func(node *testNode) bool { return node.holder.Current().Version() == version })
}

func (c *cluster) allServing() bool {
	return c.allNodes(func(node *testNode) bool { return node.relay.MayServe() })
}

// allNodes reports whether the condition holds for every running node.
func (c *cluster) allNodes(condition func(*testNode) bool) bool {
	return !slices.ContainsFunc(c.runningIDs(), func(id string) bool { return !condition(c.nodes[id]) })
}

// storeChange stores a new version that nodes learn of only from the store.
func (c *cluster) storeChange() *config.Snapshot {
	c.t.Helper()
	editor := config.Editor{Store: c.store, Random: rand.Float64}
	outcome, err := editor.Apply(context.Background(), config.Change{ID: config.NewChangeID(), Targets: []config.TargetUpsert{{Target: testTarget(rand.Float64() * 99)}}})
	if err != nil {
		c.t.Fatal(err)
	}
	return outcome.Snapshot
}
