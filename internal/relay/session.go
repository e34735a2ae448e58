package relay

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// heartbeatInterval is the longest time between two messages to a child.
const heartbeatInterval = 500 * time.Millisecond

// session serves one child.
type session struct {
	relay  *Relay
	stream childStream
	child  *subscriber
	// sent is the digest to which the last update led.
	sent config.Digest
	// resend asks the sender to compare with what the child holds.
	resend chan struct{}
}

// run sends updates and heartbeats until the child leaves.
func (s *session) run() error {
	failed := make(chan error, 1)
	go func() { failed <- s.receive() }()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	s.sent = s.relay.children.held(s.child)
	if err := s.sendHeartbeat(); err != nil {
		return err
	}
	for {
		changed := s.relay.options.Holder.Changed()
		if err := s.sendUpdate(); err != nil {
			return err
		}
		select {
		case err := <-failed:
			return err
		case <-s.child.replaced:
			return nil
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		case <-changed:
			s.collect()
		case <-s.resend:
			s.sent = s.relay.children.held(s.child)
		case <-heartbeat.C:
			if s.gone() {
				return nil
			}
			if err := s.sendHeartbeat(); err != nil {
				return err
			}
		}
	}
}

// collect lets the reader of the store gather changes before it pushes them.
func (s *session) collect() {
	if batch := s.relay.options.BatchDelay; batch > 0 && s.relay.readsStore() {
		sleep(s.stream.Context(), batch)
	}
}

// gone reports whether the membership says that the child is no more.
func (s *session) gone() bool {
	record, found := s.relay.options.View().Node(s.child.node)
	return found && (record.State == member.Dead || record.State == member.Left)
}

// sendUpdate sends what leads from the sent digest to the one in force.
func (s *session) sendUpdate() error {
	current := s.relay.options.Holder.Current().Digest()
	if current == s.sent || current.Version < s.sent.Version {
		return nil
	}
	update, err := s.relay.outbox.updateFrom(s.sent)
	if err != nil {
		return err
	}
	s.sent = fromProto(update.To)
	s.relay.counters.updates.Inc(1)
	return s.stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Update{Update: update}})
}

func (s *session) sendHeartbeat() error {
	digest := toProto(s.relay.options.Holder.Current().Digest())
	return s.stream.Send(&controlpb.ParentMessage{Body: &controlpb.ParentMessage_Heartbeat{Heartbeat: digest}})
}

// receive applies the messages of the child until the stream ends.
func (s *session) receive() error {
	for {
		message, err := s.stream.Recv()
		if err != nil {
			return err
		}
		s.received(message)
	}
}

func (s *session) received(message *controlpb.ChildMessage) {
	r := s.relay
	current := r.options.Holder.Current().Digest()
	if len(message.Report.GetBurn()) > maxStatisticsBytes {
		r.counters.limits.Inc(1)
	}
	r.children.received(s.child, message, current.Version, r.options.Now())
	held := fromProto(message.Held)
	if message.Held == nil {
		return
	}
	r.inbox.heardOf(held.Version)
	if held.Version > current.Version {
		r.repairer.childAhead(s.child.node, held)
	}
	if held.Version == current.Version && held != current {
		s.requestResend()
	}
}

// requestResend makes the sender start from what the child holds.
func (s *session) requestResend() {
	select {
	case s.resend <- struct{}{}:
	default:
	}
}
