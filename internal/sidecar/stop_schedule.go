package sidecar

import "time"

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
	// callersCloseMinimum is the end of the grace in which callers' connections are closed
	// although requests are in flight, so that each request of another caller that is read
	// meanwhile gets its response.
	callersCloseMinimum = 300 * time.Millisecond
	// fullGrace is the shortest grace with these times. It leaves the requests that are
	// accepted last as long as callers took to notice the shutdown. Within a shorter one
	// all steps come proportionally earlier.
	fullGrace = 2 * refusalDelay
)

// stopSchedule holds the times of the steps of a shutdown, counted from its start.
type stopSchedule struct {
	drainNotice, inboundClose, refusal time.Duration
	// callersClose is when the connections of callers are closed although requests are in
	// flight.
	callersClose time.Duration
	// end is when what is in flight is aborted, and entryDelete when the process no longer
	// waits for the deletion of its entry.
	end, entryDelete time.Duration
}

// newStopSchedule returns the schedule of a shutdown after which the process is killed when
// the grace has passed.
func newStopSchedule(grace time.Duration) stopSchedule {
	scale := min(1, float64(grace)/float64(fullGrace))
	end := grace - scaled(killMargin, scale)
	return stopSchedule{
		drainNotice: scaled(drainNoticeDelay, scale), inboundClose: scaled(inboundCloseDelay, scale), refusal: scaled(refusalDelay, scale),
		callersClose: end - scaled(callersCloseMinimum, scale), end: end, entryDelete: end + scaled(entryDeleteTimeout, scale),
	}
}
