package node

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
)

// blockingClaims responds once finish is closed.
type blockingClaims struct {
	controlpb.UnimplementedClaimsServer
	started, finish chan struct{}
}

func (c *blockingClaims) Register(registrar grpc.ServiceRegistrar) {
	controlpb.RegisterClaimsServer(registrar, c)
}

func (c *blockingClaims) KeptAnswer(context.Context, *controlpb.KeptAnswerRequest) (*controlpb.KeptAnswerReply, error) {
	close(c.started)
	<-c.finish
	return &controlpb.KeptAnswerReply{}, nil
}

// controlRun is a control server whose request from another node is in flight.
type controlRun struct {
	claims           *blockingClaims
	stop             context.CancelFunc
	ended, responses chan error
}

func startControlRequest(t *testing.T, g *gomega.WithT) *controlRun {
	t.Helper()
	r := &controlRun{
		claims: &blockingClaims{started: make(chan struct{}), finish: make(chan struct{})},
		ended:  make(chan error, 1), responses: make(chan error, 1),
	}
	server, err := newControlServer("127.0.0.1:0", relay.NewTraffic(tally.NoopScope), r.claims)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var background context.Context
	background, r.stop = context.WithCancel(t.Context())
	go func() { r.ended <- server.run(background) }()
	conn, err := grpc.NewClient("passthrough:///"+server.listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { conn.Close() })
	go func() {
		_, err := controlpb.NewClaimsClient(conn).KeptAnswer(context.WithoutCancel(t.Context()), &controlpb.KeptAnswerRequest{})
		r.responses <- err
	}()
	<-r.claims.started
	return r
}

// TestStopEndsStartedControlRequest guards against a request of another node, such as one
// for a retained response, that is cut off when the node stops: the caller of a repeated
// order is then told that its outcome is unknown.
func TestStopEndsStartedControlRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startControlRequest(t, g)
	r.stop()
	g.Consistently(r.responses, 50*time.Millisecond).ShouldNot(gomega.Receive())
	close(r.claims.finish)
	g.Eventually(r.responses).Should(gomega.Receive(gomega.BeNil()))
	g.Eventually(r.ended).Should(gomega.Receive(gomega.BeNil()))
}

// TestStopOfControlServerEndsInTime guards against a node that never ends because a
// request of another node does not.
func TestStopOfControlServerEndsInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startControlRequest(t, g)
	r.stop()
	g.Eventually(r.responses, 2*controlCloseTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
	close(r.claims.finish)
	g.Eventually(r.ended).Should(gomega.Receive(gomega.BeNil()))
}
