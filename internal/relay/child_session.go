package relay

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// heartbeatInterval is the maximum time between two messages to a child.
const heartbeatInterval = 500 * time.Millisecond

// childSession is the parent side of one subscription.
type childSession struct {
	relay  *Relay
	stream childStream
	child  *subscriber
	// sentDigest is the digest that the last update sent yields.
	sentDigest config.Digest
	// resend triggers a comparison with the digest that the child holds.
	resend chan struct{}
}

// run sends updates and heartbeats until the child leaves or the node stops.
func (s *childSession) run() error {
	receiveFailed := make(chan error, 1)
	go func() { receiveFailed <- s.receive() }()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	s.sentDigest = s.relay.children.held(s.child)
	if err := s.sendHeartbeat(); err != nil {
		return err
	}
	for {
		changed := s.relay.options.Holder.Changed()
		if err := s.sendUpdate(); err != nil {
			return err
		}
		select {
		case err := <-receiveFailed:
			return err
		case <-s.child.replaced:
			return nil
		case <-s.relay.stopping:
			return status.Errorf(codes.Unavailable, "node %s is stopping", s.relay.options.View().Self.ID)
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		case <-changed:
			s.waitForBatch()
		case <-s.resend:
			s.sentDigest = s.relay.children.held(s.child)
		case <-heartbeat.C:
			if s.childLeft() {
				return nil
			}
			if err := s.sendHeartbeat(); err != nil {
				return err
			}
		}
	}
}

// waitForBatch lets the reader of the store collect changes before it pushes
// them.
func (s *childSession) waitForBatch() {
	if batch := s.relay.options.BatchDelay; batch > 0 && s.relay.isStoreReader() {
		sleep(s.stream.Context(), batch)
	}
}

// childLeft reports whether the child is dead or has left according to the
// membership.
func (s *childSession) childLeft() bool {
	record, found := s.relay.options.View().Node(s.child.node)
	return found && (record.State == member.Dead || record.State == member.Left)
}

// sendUpdate sends the update from the digest last sent to the one in force.
func (s *childSession) sendUpdate() error {
	current := s.relay.options.Holder.Current().Digest()
	if current == s.sentDigest || current.Version < s.sentDigest.Version {
		return nil
	}
	update, err := s.relay.encoder.updateFrom(s.sentDigest)
	if err != nil {
		return err
	}
	s.sentDigest = fromProto(update.To)
	s.relay.metrics.updatesSent.Inc(1)
	return s.stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Update{Update: update}})
}

func (s *childSession) sendHeartbeat() error {
	digest := toProto(s.relay.options.Holder.Current().Digest())
	return s.stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Heartbeat{Heartbeat: digest}})
}

// receive handles the messages of the child until the stream ends.
func (s *childSession) receive() error {
	for {
		message, err := s.stream.Recv()
		if err != nil {
			return err
		}
		s.handle(message)
	}
}

func (s *childSession) handle(message *controlpb.ChildMessage) {
	r := s.relay
	current := r.options.Holder.Current().Digest()
	if len(message.Report.GetBurn()) > maxStatisticsBytes {
		r.metrics.limitsReached.Inc(1)
	}
	r.children.handle(s.child, message, current.Version, r.options.Now())
	held := fromProto(message.Held)
	if message.Held == nil {
		return
	}
	r.applier.recordVersion(held.Version)
	if held.Version > current.Version {
		r.repairer.observeChild(s.child.node, held)
	}
	if held.Version == current.Version && held != current {
		s.requestResend()
	}
}

// requestResend triggers an update from the digest that the child holds.
func (s *childSession) requestResend() {
	select {
	case s.resend <- struct{}{}:
	default:
	}
}
