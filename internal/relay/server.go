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

// server implements the Distribution service.
type server struct {
	controlpb.UnimplementedDistributionServer
	relay *Relay
}

// childStream is the parent side of a subscription.
type childStream = grpc.BidiStreamingServer[controlpb.ChildMessage, controlpb.ParentMessage]

// Subscribe serves a child until either side ends the stream.
func (s *server) Subscribe(stream childStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	r := s.relay
	child, accepted := (*subscriber)(nil), false
	// A node does not serve its own parent, so that two nodes with different views
	// do not form a cycle.
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

// redirect refuses a child and sends it the ids of other parents.
func (s *server) redirect(stream childStream, child string) error {
	s.relay.metrics.redirects.Inc(1)
	view := s.relay.options.View()
	others := exclude(Relays(view, view.Self.FailureDomain), view.Self.ID)
	redirect := &controlpb.Redirect{Nodes: exclude(others, child)}
	return stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Redirect{Redirect: redirect}})
}

// Fetch returns the update from the requested digest to the one in force.
func (s *server) Fetch(_ context.Context, request *controlpb.FetchRequest) (*controlpb.Update, error) {
	s.relay.metrics.updatesSent.Inc(1)
	return s.relay.encoder.updateFrom(fromProto(request.Held))
}

// FleetStatus returns the merged report. The reader of a region includes the
// other regions unless the request is limited to its own. A node without the
// lease refuses with FailedPrecondition, so that nodes with different views do
// not forward requests to each other in a loop.
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

// hasMetadata reports whether the request has the metadata value.
func hasMetadata(ctx context.Context, key, value string) bool {
	return slices.Contains(metadata.ValueFromIncomingContext(ctx, key), value)
}
