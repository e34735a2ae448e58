package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// unresponsiveParent accepts subscriptions and sends nothing, like a frozen
// node.
type unresponsiveParent struct {
	controlpb.UnimplementedDistributionServer
}

func (unresponsiveParent) Subscribe(stream childStream) error {
	<-stream.Context().Done()
	return nil
}

// addUnresponsive adds a frozen node to the membership.
func (c *cluster) addUnresponsive(id, region string) {
	listener := c.listen()
	server := grpc.NewServer()
	controlpb.RegisterDistributionServer(server, unresponsiveParent{})
	go server.Serve(listener)
	c.t.Cleanup(server.Stop)
	c.mu.Lock()
	defer c.mu.Unlock()
	port := listener.Addr().(*net.TCPAddr).Port
	c.nodes[id] = &testNode{changed: make(chan struct{})}
	c.nodes[id].stopped.Store(true)
	c.records[id] = member.Record{ID: id, IP: "127.0.0.1", ControlPort: port, Region: region, FailureDomain: region + "-0", State: member.Alive, Reader: true}
}

// subscribe subscribes a child that confirms no version and returns the first
// message of the parent.
func (n *testNode) subscribe(ctx context.Context, child string) *controlpb.ParentMessage {
	conn, release, err := n.relay.connections.shared(n.id)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	defer release()
	stream, err := controlpb.NewDistributionClient(conn).Subscribe(ctx)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	if err := stream.Send(&controlpb.ChildMessage{Node: child, Held: &controlpb.Digest{}}); err != nil {
		n.cluster.t.Fatal(err)
	}
	message, err := stream.Recv()
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return message
}

// TestStopEndsSubscriptions guards against a stop of the control port that waits for the
// subscriptions of children, which end by themselves only with the node.
func TestStopEndsSubscriptions(t *testing.T) {
	c := newCluster(t)
	parent, other := c.start("north-0-00", "north", "north-0"), c.start("north-0-01", "north", "north-0")
	c.eventually(2*inForceLimit, "all serve", c.allServing)
	conn, release, err := other.relay.connections.shared(parent.id)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	ctx, cancel := context.WithTimeout(t.Context(), 4*heartbeatInterval)
	defer cancel()
	stream, err := controlpb.NewDistributionClient(conn).Subscribe(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&controlpb.ChildMessage{Node: "child", Held: &controlpb.Digest{}}); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Recv(); err != nil {
		t.Fatal(err)
	}
	parent.stopRelay()
	for err == nil {
		_, err = stream.Recv()
	}
	if status.Code(err) != codes.Unavailable {
		t.Errorf("the subscription ended with %v, want the code Unavailable", err)
	}
}

// TestUnresponsiveReader guards invariant I9 while a reader is frozen but not
// suspected yet: the reader of the other region reads the store after 1 s
// without a message.
func TestUnresponsiveReader(t *testing.T) {
	c := newCluster(t)
	c.start("south-0-00", "south", "south-0")
	c.start("south-0-01", "south", "south-0")
	version := c.applyChange("south-0-00")
	c.eventually(2*inForceLimit, "all serve", func() bool { return c.allServing() && c.allHaveVersion(version) })
	c.addUnresponsive("north-0-00", "north")
	c.setReader(ReaderCandidates(c.nodes["south-0-00"].view(), "south")[0], true)
	time.Sleep(heartbeatInterval)
	version = c.storeChange().Version()
	c.eventually(inForceLimit, "change behind an unresponsive reader", func() bool { return c.allHaveVersion(version) })
}

// TestParentSubscriberLimit guards against a parent that accepts all children
// of its failed neighbours: above its limit it redirects them to other relays.
func TestParentSubscriberLimit(t *testing.T) {
	c := newCluster(t)
	c.startRegions(3)
	c.eventually(2*inForceLimit, "all serve", c.allServing)
	view := c.nodes["north-0-00"].view()
	parent := c.nodes[Relays(view, "north-0")[0]]
	ctx, cancel := context.WithTimeout(context.Background(), inForceLimit)
	defer cancel()
	for i := range maxSubscribers + 1 {
		redirect := parent.subscribe(ctx, fmt.Sprint("child-", i)).GetRedirect()
		if i == 0 && redirect != nil {
			t.Fatal("the first child is redirected")
		}
		if i == maxSubscribers && len(redirect.GetNodes()) == 0 {
			t.Fatal("the child above the limit is not redirected")
		}
	}
	if count := parent.relay.Subscribers(); count != maxSubscribers {
		t.Errorf("%d subscribers instead of %d", count, maxSubscribers)
	}
}

// TestBatch guards the number of bytes on the link: changes within the batch
// delay cross it as one update, and all are in force within the limit.
func TestBatch(t *testing.T) {
	c := newCluster(t)
	c.batch = 500 * time.Millisecond
	c.startRegions(2)
	c.eventually(2*inForceLimit, "all serve", c.allServing)
	reader := Readers(c.nodes["north-0-00"].view(), "north")[0]
	south := c.nodes[Readers(c.nodes["north-0-00"].view(), "south")[0]]
	before := south.publishedCount()
	version := uint64(0)
	for range 5 {
		version = c.applyChange(reader)
	}
	c.eventually(inForceLimit, "batched changes", func() bool { return c.allHaveVersion(version) })
	if published := south.publishedCount() - before; published != 1 {
		t.Errorf("the reader of the other region published %d versions instead of 1", published)
	}
}

// publishedCount returns how many versions the node has put in force.
func (n *testNode) publishedCount() int64 {
	if counter, found := n.scope.Snapshot().Counters()["relay.versions_published+"]; found {
		return counter.Value()
	}
	return 0
}

// TestRepairWithoutTree guards invariant I9 without any reader or relay: a
// version that one node holds spreads through the exchange of digests alone.
func TestRepairWithoutTree(t *testing.T) {
	c := newCluster(t)
	c.startRegions(2)
	c.eventually(2*inForceLimit, "all serve", c.allServing)
	for _, id := range c.runningIDs() {
		c.editRecord(id, func(record *member.Record) { record.State, record.Reader = member.Leaving, false })
	}
	c.eventually(inForceLimit, "no node has a parent", func() bool {
		return c.allNodes(func(node *testNode) bool { return node.relay.Parent() == "" })
	})
	version := c.applyChange("south-1-01")
	c.eventually(inForceLimit, "change without a tree", func() bool { return c.allHaveVersion(version) })
}
