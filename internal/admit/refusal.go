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

// refuseAll returns why no call may run or wait now.
func (q *Queue) refuseAll(now time.Time, ticket *Ticket) error {
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

// refuseWaiting returns why a call that cannot start at once may not wait.
func (q *Queue) refuseWaiting(now time.Time, ticket *Ticket) error {
	wait := q.estimateWait(now, ticket)
	if expired(now.Add(wait), ticket.request.Deadline) {
		q.counts.WaitTooLong++
		return errWaitTooLong
	}
	if q.shed(now, ticket, wait) {
		q.counts.Shed++
		return errShed
	}
	if !q.makeRoom(ticket) {
		q.counts.QueueFull++
		return errQueueFull
	}
	return nil
}

// shed reports whether a call is refused early. During sustained overload these
// are the calls that would miss their objective, and downloads beyond the one
// that waits.
func (q *Queue) shed(now time.Time, ticket *Ticket, wait time.Duration) bool {
	answered := now.Add(wait + q.times.long(ticket.request.Priority))
	late := expired(answered, ticket.request.Objective)
	if !q.overload.note(now, late) {
		return false
	}
	return late || (ticket.class == download && len(q.waiting[download]) > 0)
}

// tooLate reports whether a waiting call would miss its objective although it
// gets a slot now. During sustained overload the slot goes to the next call.
func (q *Queue) tooLate(now time.Time, ticket *Ticket) bool {
	answered := now.Add(q.times.long(ticket.request.Priority))
	return q.overload.sustained(now) && expired(answered, ticket.request.Objective)
}

// makeRoom reports whether the queue has room for the call. A lookup or order
// displaces the newest download from a full queue.
func (q *Queue) makeRoom(ticket *Ticket) bool {
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
