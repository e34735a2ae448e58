package admit

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

var (
	errDraining    = result.Errorf(result.Draining, "the backend server is leaving")
	errNoServer    = result.Errorf(result.NoServer, "no backend server is ready beside this node")
	errQueueFull   = result.Errorf(result.Overloaded, "the queue of the backend server is full")
	errWaitTooLong = result.Errorf(result.Overloaded, "the estimated wait exceeds the deadline")
	errShed        = result.Errorf(result.Overloaded, "the backend server is overloaded")
	errExpired     = result.Errorf(result.DeadlineNotRun, "the deadline passed before the call got a slot")
)

// checkAdmission returns an error when the call may neither start nor be
// queued.
func (q *Queue) checkAdmission(now time.Time, ticket *Ticket) error {
	switch {
	case q.draining:
		q.counts.Draining++
		return errDraining
	case q.limit.at(now) == 0:
		return errNoServer
	case expired(now, ticket.request.Deadline):
		return errExpired
	default:
		return nil
	}
}

// checkEnqueue returns an error when a call that cannot start at once may not
// be queued either.
func (q *Queue) checkEnqueue(now time.Time, ticket *Ticket) error {
	wait := q.estimateWait(now, ticket)
	if expired(now.Add(wait), ticket.request.Deadline) {
		q.counts.WaitTooLong++
		return errWaitTooLong
	}
	if q.shouldShed(now, ticket, wait) {
		q.counts.Shed++
		return errShed
	}
	if !q.reserveCapacity(ticket) {
		q.counts.QueueFull++
		return errQueueFull
	}
	return nil
}

// shouldShed reports whether a new call is shed. During sustained overload
// these are the calls that are expected to miss their objective, and every
// download while another one is queued.
func (q *Queue) shouldShed(now time.Time, ticket *Ticket, wait time.Duration) bool {
	expectedCompletion := now.Add(wait + q.serviceTimes.upperBound(ticket.request.Priority))
	late := expired(expectedCompletion, ticket.request.Objective)
	if !q.overload.observe(now, late) {
		return false
	}
	return late || (ticket.class == download && len(q.waiting[download]) > 0)
}

// missesObjective reports whether the overload is sustained and a queued call
// is expected to miss its objective even if it starts now. The slot then goes
// to the next call.
func (q *Queue) missesObjective(now time.Time, ticket *Ticket) bool {
	expectedCompletion := now.Add(q.serviceTimes.upperBound(ticket.request.Priority))
	return q.overload.sustained(now) && expired(expectedCompletion, ticket.request.Objective)
}

// reserveCapacity reports whether the queue has capacity for the call. A lookup
// or order displaces the newest download from a full queue.
func (q *Queue) reserveCapacity(ticket *Ticket) bool {
	slots := q.limit.capacity.Slots
	downloads := q.waiting[download]
	if ticket.class == download && len(downloads) >= downloadQueuePerSlot*slots {
		return false
	}
	if q.Waiting() < queuePerSlot*slots {
		return true
	}
	if ticket.class == download || len(downloads) == 0 {
		return false
	}
	q.counts.Shed++
	q.refuseTicket(downloads[len(downloads)-1], errShed)
	return true
}

func expired(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
