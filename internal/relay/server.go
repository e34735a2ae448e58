package relay

import (
	"context"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// server answers the Distribution service.
type server struct {
	controlpb.UnimplementedDistributionServer
	relay *Relay
}

// childStream is the parent's end of a subscription.
type childStream = grpc.BidiStreamingServer[controlpb.ChildMessage, controlpb.ParentMessage]

// Subscribe serves a child until it leaves.
func (s *server) Subscribe(stream childStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	r := s.relay
	child, accepted := (*subscriber)(nil), false
	// A node does not serve its own parent, so that two nodes whose views differ
	// form no cycle.
	if first.Node != r.subscription.parent() {
		child, accepted = r.children.add(first.Node)
	}
	if !accepted {
		return s.redirect(stream, first.Node)
	}
	r.metrics.subscribers.Update(float64(r.children.count()))
	defer func() {
		r.children.remove(child)
		r.metrics.subscribers.Update(float64(r.children.count()))
	}()
	session := &childSession{relay: r, stream: stream, child: child, resend: make(chan struct{}, 1)}
	session.handle(first)
	return session.run()
}

// redirect refuses a child and names other parents for it.
func (s *server) redirect(stream childStream, child string) error {
	s.relay.metrics.redirects.Inc(1)
	view := s.relay.options.View()
	others := exclude(Relays(view, view.Self.FailureDomain), view.Self.ID)
	redirect := &controlpb.Redirect{Nodes: exclude(others, child)}
	return stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Redirect{Redirect: redirect}})
}

// Fetch returns the update that leads from the named digest to the one in force.
func (s *server) Fetch(_ context.Context, request *controlpb.FetchRequest) (*controlpb.Update, error) {
	s.relay.metrics.updatesSent.Inc(1)
	return s.relay.encoder.updateFrom(fromProto(request.Held))
}

// FleetStatus returns the sum of the reports. The reader of a region adds the
// sum of the other regions unless only its own is wanted. A node without the
// lease refuses, so that nodes whose views differ do not ask each other in turn.
func (s *server) FleetStatus(ctx context.Context, _ *controlpb.FleetStatusRequest) (*controlpb.Report, error) {
	if !s.relay.options.Lease.Held() {
		return nil, status.Error(codes.FailedPrecondition, "the node is not the reader of its region")
	}
	fleet := s.relay.fleetClient
	if hasMetadata(ctx, contentHeader, contentStatistics) {
		fleet = s.relay.statisticsClient
	}
	if hasMetadata(ctx, scopeHeader, scopeRegion) {
		return fleet.localReport(), nil
	}
	return fleet.mergedReport(ctx)
}

// hasMetadata reports whether the request carries the metadata.
func hasMetadata(ctx context.Context, key, value string) bool {
	return slices.Contains(metadata.ValueFromIncomingContext(ctx, key), value)
}
