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
	r.counters.subscribers.Update(float64(r.children.count()))
	defer func() {
		r.children.remove(child)
		r.counters.subscribers.Update(float64(r.children.count()))
	}()
	session := &session{relay: r, stream: stream, child: child, resend: make(chan struct{}, 1)}
	session.received(first)
	return session.run()
}

// redirect refuses a child and names other parents for it.
func (s *server) redirect(stream childStream, child string) error {
	s.relay.counters.redirects.Inc(1)
	view := s.relay.options.View()
	others := without(Relays(view, view.Self.FailureDomain), view.Self.ID)
	redirect := &controlpb.Redirect{Nodes: without(others, child)}
	return stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Redirect{Redirect: redirect}})
}

// Fetch returns the update that leads from the named digest to the one in force.
func (s *server) Fetch(_ context.Context, request *controlpb.FetchRequest) (*controlpb.Update, error) {
	s.relay.counters.updates.Inc(1)
	return s.relay.outbox.updateFrom(fromProto(request.Held))
}

// FleetStatus returns the sum of the reports. The reader of a region adds the
// sum of the other regions unless only its own is wanted. A node without the
// lease refuses, so that nodes whose views differ do not ask each other in turn.
func (s *server) FleetStatus(ctx context.Context, _ *controlpb.FleetStatusRequest) (*controlpb.Report, error) {
	if !s.relay.options.Lease.Held() {
		return nil, status.Error(codes.FailedPrecondition, "the node is not the reader of its region")
	}
	fleet := s.relay.fleet
	if has(ctx, contentHeader, contentStatistics) {
		fleet = s.relay.statistics
	}
	if has(ctx, scopeHeader, scopeRegion) {
		return fleet.sum(), nil
	}
	return fleet.report(ctx)
}

// has reports whether the request carries the metadata.
func has(ctx context.Context, key, value string) bool {
	return slices.Contains(metadata.ValueFromIncomingContext(ctx, key), value)
}
