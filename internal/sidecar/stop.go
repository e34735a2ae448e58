package sidecar

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// drainNoticeDelay is the time from the start of the shutdown until the local fleet
	// entry becomes draining. Until then the node serves as before, because callers
	// leave only after two failed readiness checks.
	drainNoticeDelay = 1600 * time.Millisecond
	// inboundCloseDelay is the time from the start of the shutdown until the inbound
	// proxy closes, a few hundred milliseconds after the fleet entry has changed.
	inboundCloseDelay = 2200 * time.Millisecond
	// refusalDelay is the time from the start of the shutdown until every caller has
	// seen that readiness fails: two checks one second apart, and the transit time of
	// the last response. Callers without an alternative are refused from then on, so
	// that no request is aborted at the end.
	refusalDelay = 2800 * time.Millisecond
	// entryDeleteTimeout bounds the deletion of the local fleet entry.
	entryDeleteTimeout = 200 * time.Millisecond
	// killMargin is the part of the grace that is reserved for the exit of the
	// process.
	killMargin = 600 * time.Millisecond
	// callersCloseTimeout bounds the wait for callers to close the connections whose last
	// response announced the end. Callers that received it close at once.
	callersCloseTimeout = time.Second
	// callersCloseMinimum is the end of the grace in which callers' connections are closed
	// although requests are in flight, so that each request of another caller that is read
	// meanwhile gets its response.
	callersCloseMinimum = 300 * time.Millisecond
	// inFlightPollInterval is the time between two checks for requests in flight.
	inFlightPollInterval = 20 * time.Millisecond
)

// stop shuts the node down without aborting a request: first readiness fails, then
// the fleet stops sending, then the inbound proxy closes, then callers are refused.
func (s *Sidecar) stop() {
	startedAt := time.Now()
	grace := s.settings.Load().Bounds.Grace
	deadline := startedAt.Add(grace - killMargin)
	s.stopping.Store(true)
	s.log.WithField("in_flight", s.proxy.InFlight()).Info("node is stopping")
	s.proxy.Drain()
	s.callers.Drain()
	time.Sleep(drainNoticeDelay)
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) {
		if entry.State == fleet.Ready {
			entry.State = fleet.Draining
		}
	})
	time.Sleep(time.Until(startedAt.Add(inboundCloseDelay)))
	s.slots.Close(result.Errorf(result.Draining, "the node is stopping"))
	time.Sleep(time.Until(startedAt.Add(refusalDelay)))
	s.proxy.RefuseNewRequests()
	s.endRequests(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(entryDeleteTimeout))
	defer cancel()
	if err := s.registry.DeleteLocalEntry(ctx); err != nil {
		s.log.WithError(err).Info("failed to delete the local entry from the store; it expires with its lease")
	}
}

// endRequests waits for the requests in flight, until the deadline at most, and ends the
// connections of callers without discarding a request.
func (s *Sidecar) endRequests(deadline time.Time) {
	s.awaitInFlight(deadline.Add(-callersCloseMinimum))
	if inFlight := s.proxy.InFlight(); inFlight > 0 {
		s.log.WithField("in_flight", inFlight).Warn("requests are still in flight near the end of the grace")
	}
	s.closeCallers(deadline)
	s.awaitInFlight(deadline)
}

// awaitInFlight waits until no request is in flight or a time has come.
func (s *Sidecar) awaitInFlight(until time.Time) {
	for s.proxy.InFlight()+s.callers.Active() > 0 && time.Now().Before(until) {
		time.Sleep(inFlightPollInterval)
	}
}

// closeCallers ends the connections of callers without discarding a request.
func (s *Sidecar) closeCallers(deadline time.Time) {
	if latest := time.Now().Add(callersCloseTimeout); deadline.After(latest) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	s.callers.Shutdown(ctx)
}
