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
	// a second apart, and the way of the last answer.
	quietAfter = 2600 * time.Millisecond
	// killMargin is left of the grace for the end of the process.
	killMargin = 600 * time.Millisecond
	// stopPoll is how often the node looks whether requests are in flight.
	stopPoll = 20 * time.Millisecond
)

// stop ends the node without cutting a request: readiness goes first, then the
// fleet stops sending, then the gate closes, then the connections of callers.
func (s *Sidecar) stop() {
	began := time.Now()
	grace := s.settings.Load().Bounds.Grace
	deadline := began.Add(grace - killMargin)
	s.stopping.Store(true)
	s.log.WithField("in_flight", s.proxy.InFlight()).Info("node is stopping")
	time.Sleep(noticeAfter)
	s.registry.Update(func(entry *fleet.Entry) {
		if entry.State == fleet.Ready {
			entry.State = fleet.Draining
		}
	})
	time.Sleep(time.Until(began.Add(closeAfter)))
	s.slots.Close(result.Errorf(result.Draining, "the node is stopping"))
	time.Sleep(time.Until(began.Add(quietAfter)))
	s.front.drain()
	for s.proxy.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := s.front.shutdown(ctx); err != nil {
		s.log.WithError(err).WithField("in_flight", s.proxy.InFlight()).Warn("callers were still connected at the end of the grace")
	}
	if err := s.registry.Withdraw(ctx); err != nil {
		s.log.WithError(err).Info("own entry not withdrawn; its lease ends")
	}
}
