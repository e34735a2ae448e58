package gossip

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// server responds to the exchanges that other nodes start.
type server struct {
	controlpb.UnimplementedMembershipServer
	exchanger *Exchanger
}

// Exchange implements controlpb.MembershipServer.
func (s *server) Exchange(_ context.Context, message *controlpb.Gossip) (*controlpb.Gossip, error) {
	e := s.exchanger
	e.counters.received(message)
	sender, err := e.apply(message)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	response := e.compose(sender, message.GetFull())
	response.Full = false
	e.counters.sent(response)
	return response, nil
}

// Register adds the Membership service to a gRPC server.
func (e *Exchanger) Register(registrar grpc.ServiceRegistrar) {
	controlpb.RegisterMembershipServer(registrar, &server{exchanger: e})
}

// ServerOptions returns the options of a gRPC server for the Membership service.
// They disable the bandwidth estimation of grpc-go, which sends additional pings.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
	}
}
