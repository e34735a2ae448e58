package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"rosemaryladder.dev/rosemaryladder/internal/gossip"
)

const (
	// keepaliveInterval is how often an idle control connection is probed.
	keepaliveInterval = 20 * time.Second
	// keepaliveTimeout is how long a probe may stay without a response before the
	// control connection is closed.
	keepaliveTimeout = 5 * time.Second
	// maxControlMessageBytes is the maximum size of a received control message; a
	// complete document has at most 1 MB.
	maxControlMessageBytes = 2 << 20
	// controlCloseTimeout bounds the wait for requests in flight when the node stops.
	controlCloseTimeout = time.Second
)

// grpcService is a gRPC service of the control port.
type grpcService interface {
	Register(registrar grpc.ServiceRegistrar)
}

// controlServer serves the control port.
type controlServer struct {
	grpc     *grpc.Server
	listener net.Listener
}

func newControlServer(address string, traffic stats.Handler, services ...grpcService) (*controlServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the control port")
	}
	options := append(gossip.ServerOptions(),
		grpc.StatsHandler(traffic),
		grpc.MaxRecvMsgSize(maxControlMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	server := grpc.NewServer(options...)
	for _, service := range services {
		service.Register(server)
	}
	return &controlServer{grpc: server, listener: listener}, nil
}

// run serves the control port until the context ends. It then refuses new requests and
// waits for those in flight, at most for controlCloseTimeout.
func (s *controlServer) run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.grpc.Serve(s.listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve the control port")
	case <-ctx.Done():
	}
	// Stop ends a GracefulStop that waits.
	timeout := time.AfterFunc(controlCloseTimeout, s.grpc.Stop)
	defer timeout.Stop()
	s.grpc.GracefulStop()
	return nil
}
