package sidecar

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// callersCloseTimeout bounds the wait for callers to close the connections whose last
	// response announced the end. Callers that received it close at once.
	callersCloseTimeout = time.Second
	// inFlightPollInterval is the time between two checks for requests in flight.
	inFlightPollInterval = 20 * time.Millisecond
)

// stop shuts the node down without aborting a request: first readiness fails, then
// the fleet stops sending, then the inbound proxy closes, then callers are refused.
func (s *Sidecar) stop() {
	startedAt := time.Now()
	schedule := newStopSchedule(s.settings.Load().Bounds.Grace)
	s.stopping.Store(true)
	s.log.WithField("in_flight", s.proxy.InFlight()).Info("node is stopping")
	s.proxy.Drain(startedAt.Add(schedule.callersClose))
	s.callers.Drain()
	time.Sleep(schedule.drainNotice)
	s.registry.UpdateLocalEntry(func(entry *fleet.Entry) {
		if entry.State == fleet.Ready {
			entry.State = fleet.Draining
		}
	})
	time.Sleep(time.Until(startedAt.Add(schedule.inboundClose)))
	s.slots.Close(result.Errorf(result.Draining, "the node is stopping"))
	time.Sleep(time.Until(startedAt.Add(schedule.refusal)))
	s.proxy.RefuseNewRequests()
	s.endRequests(startedAt.Add(schedule.callersClose), startedAt.Add(schedule.end))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(schedule.entryDelete))
	defer cancel()
	if err := s.registry.DeleteLocalEntry(ctx); err != nil {
		s.log.WithError(err).Info("failed to delete the local entry from the store; it expires with its lease")
	}
}

// endRequests waits for the requests in flight, until the deadline at most, and ends the
// connections of callers from closeAt on without discarding a request.
func (s *Sidecar) endRequests(closeAt, deadline time.Time) {
	s.awaitInFlight(closeAt)
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
