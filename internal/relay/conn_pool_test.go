package relay

import (
	"context"
	"fmt"
	"net"
	"testing"

	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// blockingReader reports once finish is closed.
type blockingReader struct {
	controlpb.UnimplementedDistributionServer
	started, finish chan struct{}
}

func (r *blockingReader) FleetStatus(context.Context, *controlpb.FleetStatusRequest) (*controlpb.Report, error) {
	close(r.started)
	<-r.finish
	return &controlpb.Report{}, nil
}

// TestEvictionKeepsRequestInFlight guards against a full pool of connections that cuts off
// a request: a report would count the nodes of a region as unreachable.
func TestEvictionKeepsRequestInFlight(t *testing.T) {
	c := newCluster(t)
	node := c.start("north-0-00", "north", "north-0")
	listener := c.listen()
	reader := &blockingReader{started: make(chan struct{}), finish: make(chan struct{})}
	server := grpc.NewServer()
	controlpb.RegisterDistributionServer(server, reader)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	c.mu.Lock()
	for i := range maxConnections + 1 {
		id, port := fmt.Sprint("south-", i), 1+i
		if i == 0 {
			port = listener.Addr().(*net.TCPAddr).Port
		}
		c.nodes[id] = &testNode{changed: make(chan struct{})}
		c.nodes[id].stopped.Store(true)
		c.records[id] = member.Record{ID: id, IP: "127.0.0.1", ControlPort: port, Region: "south", FailureDomain: "south-0", State: member.Dead}
	}
	c.mu.Unlock()
	failed := make(chan error, 1)
	go func() {
		_, err := node.relay.fleetClient.requestFromNode(context.WithoutCancel(t.Context()), "south-0", "")
		failed <- err
	}()
	<-reader.started
	for i := range maxConnections {
		if _, _, err := node.relay.connections.shared(fmt.Sprint("south-", i+1)); err != nil {
			t.Fatal(err)
		}
	}
	close(reader.finish)
	if err := <-failed; err != nil {
		t.Errorf("the request failed: %v", err)
	}
}
