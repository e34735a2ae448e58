package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/event"
)

const (
	// parentIdleTimeout is how long a child waits for a message of its parent
	// before it leaves.
	parentIdleTimeout = 3 * heartbeatInterval
	// avoidDuration is how long the other parents are preferred to one that
	// failed.
	avoidDuration = 5 * time.Second
	// baseReconnectDelay and maxReconnectDelay limit the jittered backoff
	// before the next subscription.
	baseReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay  = 2 * time.Second
	// parentSearchInterval is how often a node without a parent looks for one.
	parentSearchInterval = 200 * time.Millisecond
)

// subscription keeps the node subscribed to one parent.
type subscription struct {
	relay *Relay

	mu       sync.Mutex
	parentID string
	// lastMessageAt is when the last message of a parent was received.
	lastMessageAt time.Time
	// avoidedUntil holds, by node id, until when the other parents are preferred
	// to one that failed.
	avoidedUntil map[string]time.Time
}

// run subscribes to one parent after another until the context ends.
func (s *subscription) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		parent, found := s.choose()
		if !found {
			sleep(ctx, withJitter(parentSearchInterval, s.relay.options.Random()))
			continue
		}
		if s.follow(ctx, parent) {
			failures = 0
		}
		wait := fullJitter(baseReconnectDelay, maxReconnectDelay, failures, s.relay.options.Random())
		failures++
		sleep(ctx, wait)
	}
}

// follow subscribes to a parent until the subscription ends; true when the
// parent accepted it.
func (s *subscription) follow(ctx context.Context, parent string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower := &follower{relay: s.relay, parent: parent, lastReport: &controlpb.Report{}}
	defer s.setParent("")
	err := follower.run(ctx)
	if !s.eligible(parent) {
		return follower.accepted
	}
	s.avoid(parent)
	if ctx.Err() == nil && follower.accepted {
		s.relay.options.Logger.WithError(err).WithField("parent", parent).Info("subscription to the parent ended")
		s.relay.options.Events.Record(event.Event{Kind: event.KindRepair, Subject: parent, Message: fmt.Sprintf("subscription to parent %s ended: %v", parent, err)})
	}
	return follower.accepted
}

func (s *subscription) choose() (string, bool) {
	parents := s.parents()
	now := s.relay.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return ChooseParent(parents, func(id string) bool { return now.Before(s.avoidedUntil[id]) })
}

func (s *subscription) parents() []string {
	view := s.relay.options.View()
	return Parents(view, RoleOf(view, s.relay.options.Lease.Held()), s.relay.options.StoreRegion)
}

// eligible reports whether the node may stay with the parent. A better parent
// that appears is no reason to leave, because moving children costs more than
// it gains.
func (s *subscription) eligible(parent string) bool { return slices.Contains(s.parents(), parent) }

func (s *subscription) avoid(parent string) {
	now := s.relay.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, until := range s.avoidedUntil {
		if now.After(until) {
			delete(s.avoidedUntil, id)
		}
	}
	s.avoidedUntil[parent] = now.Add(avoidDuration)
}

func (s *subscription) setParent(parent string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parentID = parent
}

// parent returns the node that accepted the subscription; empty when there is
// none.
func (s *subscription) parent() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parentID
}

// recordMessage records a message of the parent.
func (s *subscription) recordMessage(parent string, digest *controlpb.Digest) {
	s.mu.Lock()
	s.parentID = parent
	s.lastMessageAt = s.relay.options.Now()
	s.mu.Unlock()
	s.relay.readiness.recordPeerVersion(parent, digest.GetVersion(), true)
}

// lastMessage returns when the last message of a parent was received.
func (s *subscription) lastMessage() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastMessageAt
}
