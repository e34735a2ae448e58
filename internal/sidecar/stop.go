package sidecar

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// noticeAfter is when the fleet is told of the stop: until then the server
	// serves on, because callers leave only after two missed readiness questions.
	noticeAfter = 1600 * time.Millisecond
	// closeAfter is when the gate closes, a few hundred milliseconds after the
	// fleet was told.
	closeAfter = 2200 * time.Millisecond
	// quietAfter is when the last caller has seen the readiness go: two questions
	// a second apart, and the way of the last answer. Callers that have nowhere else
	// to go are refused from then on, so that no request is cut at the end.
	quietAfter = 2800 * time.Millisecond
	// withdrawTime bounds the removal of the own entry.
	withdrawTime = 200 * time.Millisecond
	// killMargin is left of the grace for the end of the process.
	killMargin = 600 * time.Millisecond
	// stopPoll is how often the node looks whether requests are in flight.
	stopPoll = 20 * time.Millisecond
)

// stop ends the node without cutting a request: readiness goes first, then the
// fleet stops sending, then the gate closes, then callers are refused.
func (s *Sidecar) stop() {
	began := time.Now()
	grace := s.settings.Load().Bounds.Grace
	deadline := began.Add(grace - killMargin)
	s.stopping.Store(true)
	s.log.WithField("in_flight", s.proxy.InFlight()).Info("node is stopping")
	s.proxy.Drain()
	time.Sleep(noticeAfter)
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) {
		if entry.State == fleet.Ready {
			entry.State = fleet.Draining
		}
	})
	time.Sleep(time.Until(began.Add(closeAfter)))
	s.slots.Close(result.Errorf(result.Draining, "the node is stopping"))
	time.Sleep(time.Until(began.Add(quietAfter)))
	s.proxy.RefuseNewRequests()
	for s.proxy.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	if left := s.proxy.InFlight(); left > 0 {
		s.log.WithField("in_flight", left).Warn("requests were still in flight at the end of the grace")
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(withdrawTime))
	defer cancel()
	if err := s.registry.Withdraw(ctx); err != nil {
		s.log.WithError(err).Info("own entry not withdrawn; its lease ends")
	}
}
