package claim

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// blockingOwner grants a claim once finish is closed.
type blockingOwner struct {
	controlpb.UnimplementedClaimsServer
	started, finish chan struct{}
}

func (o *blockingOwner) Claim(_ context.Context, message *controlpb.ClaimRequest) (*controlpb.ClaimReply, error) {
	close(o.started)
	<-o.finish
	return &controlpb.ClaimReply{Holders: message.Claims}, nil
}

// TestEvictionKeepsClaimInFlight guards against a full pool of connections that cuts off a
// claim: its error is final, and the order fails although its owner may record it.
func TestEvictionKeepsClaimInFlight(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	owner := &blockingOwner{started: make(chan struct{}), finish: make(chan struct{})}
	server := grpc.NewServer()
	controlpb.RegisterClaimsServer(server, owner)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	pool := newConnPool(dial.Dialer{LocalIP: "127.0.0.1"}, time.Now)
	t.Cleanup(pool.close)
	client := &ownerClient{conns: pool, ackTimeout: time.Minute, metrics: newMetrics(tally.NoopScope)}
	outcomes := make(chan outcome, 1)
	go func() {
		claim := Claim{Service: "s", Key: "k", Node: "n", Incarnation: 1}
		outcomes <- client.submit(context.WithoutCancel(t.Context()), listener.Addr().String(), request{claim: claim})
	}()
	<-owner.started
	for i := range maxConns {
		if _, _, err := pool.get(fmt.Sprintf("127.0.%d.%d:1", 100+i/250, 1+i%250)); err != nil {
			t.Fatal(err)
		}
	}
	close(owner.finish)
	if got := <-outcomes; got.err != nil || got.holder.Key != "k" {
		t.Errorf("the claim ended with holder %+v and error %v", got.holder, got.err)
	}
	if len(pool.conns) > maxConns {
		t.Errorf("the pool keeps %d connections, want at most %d", len(pool.conns), maxConns)
	}
}
