package admit

import (
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

const (
	// queuePerSlot bounds the waiting calls.
	queuePerSlot = 4
	// downloadQueuePerSlot bounds the waiting downloads, so that they cannot
	// fill the queue.
	downloadQueuePerSlot = 2
	// downloadPatience is how long a download waits behind other calls before it
	// gets a slot of its own, one download at a time.
	downloadPatience = time.Second
	// quietPeriod is how long no lookup or order must have arrived before
	// downloads may hold more than their share. It keeps slots free for the next
	// order of a service that serves both.
	quietPeriod = 10 * time.Second
)

// Queue decides which calls to one backend server run. Time is passed in. It is
// not safe for concurrent use; Controller is.
type Queue struct {
	limit           limit
	times           serviceTimes
	overload        overload
	waiting         [classCount][]*Ticket
	running         [classCount]int
	runningBy       map[config.Priority]int
	draining        bool
	lastInteractive time.Time
	// unmeasured is the number of coming releases that belong to calls the
	// server refused; their short times say nothing about the service time.
	unmeasured int
	counts     Counts
}

// NewQueue returns a queue without a server; it refuses every call.
func NewQueue() *Queue {
	return &Queue{runningBy: make(map[config.Priority]int)}
}

// Open sets the capacity of a server that became ready and ends a drain. The
// server counts as one that serves lookups or orders until none came for
// quietPeriod.
func (q *Queue) Open(now time.Time, capacity Capacity) {
	q.draining = false
	q.lastInteractive = now
	q.limit = limit{capacity: capacity}
	q.Dispatch(now)
}

// Resize changes the slots and connections without a new ramp. Running calls
// are kept when they exceed the new number. Without slots the waiting calls are
// refused.
func (q *Queue) Resize(now time.Time, slots, connections int) {
	q.limit.capacity.Slots = slots
	q.limit.capacity.Connections = connections
	if q.limit.at(now) == 0 {
		q.refuseAllWaiting(errNoServer)
	}
	q.Dispatch(now)
}

// Offer accepts a call, which then runs or waits, or refuses it.
func (q *Queue) Offer(now time.Time, request Request) (*Ticket, error) {
	ticket := &Ticket{request: request, class: classOf(request.Priority), offeredAt: now}
	q.Dispatch(now)
	if ticket.class == interactive {
		q.lastInteractive = now
	}
	if err := q.refuseAll(now, ticket); err != nil {
		return nil, err
	}
	if q.canStart(now, ticket.class) {
		q.start(now, ticket)
		return ticket, nil
	}
	if err := q.refuseWaiting(now, ticket); err != nil {
		return nil, err
	}
	q.waiting[ticket.class] = append(q.waiting[ticket.class], ticket)
	return ticket, nil
}

// Finish frees the slot of a running call.
func (q *Queue) Finish(now time.Time, ticket *Ticket) {
	if ticket.state != ticketRunning {
		return
	}
	ticket.state = ticketDone
	q.running[ticket.class]--
	q.runningBy[ticket.request.Priority]--
	q.measure(ticket, now.Sub(ticket.startedAt))
	q.Dispatch(now)
}

// Abandon withdraws a call that no longer wants to run, waiting or running.
func (q *Queue) Abandon(now time.Time, ticket *Ticket) {
	if ticket.state == ticketRunning {
		q.Finish(now, ticket)
		return
	}
	if ticket.state == ticketWaiting {
		q.remove(ticket)
	}
}

// ServerRefused lowers the working limit for a short time because the server
// answered that it did not run a call. It precedes the call's Finish.
func (q *Queue) ServerRefused(now time.Time) {
	q.counts.ServerRefused++
	q.unmeasured++
	q.limit.reduce(now, q.Running())
}

// Drain refuses the waiting calls and all new ones; running calls finish.
func (q *Queue) Drain() {
	q.draining = true
	q.counts.Draining += uint64(q.Waiting())
	q.refuseAllWaiting(errDraining)
}

// Dispatch starts waiting calls while slots are free. It must be called when
// time passes while calls wait, because the working limit grows with time.
func (q *Queue) Dispatch(now time.Time) {
	for q.Running() < q.limit.at(now) {
		ticket := q.next(now)
		if ticket == nil {
			break
		}
		if q.tooLate(now, ticket) {
			q.counts.Shed++
			q.refuseTicket(ticket, errShed)
			continue
		}
		q.remove(ticket)
		q.start(now, ticket)
		ticket.request.OnDecision(nil)
	}
	if q.Waiting() == 0 {
		q.overload.clear()
	}
}

// Running returns the number of calls that hold a slot.
func (q *Queue) Running() int { return q.running[interactive] + q.running[download] }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return len(q.waiting[interactive]) + len(q.waiting[download]) }

// Slots returns the working limit: the slots that may be used now.
func (q *Queue) Slots(now time.Time) int { return q.limit.at(now) }

// Draining reports whether all new calls are refused.
func (q *Queue) Draining() bool { return q.draining }

// Counts returns the calls counted so far.
func (q *Queue) Counts() Counts { return q.counts }

func (q *Queue) start(now time.Time, ticket *Ticket) {
	ticket.state = ticketRunning
	ticket.startedAt = now
	q.running[ticket.class]++
	q.runningBy[ticket.request.Priority]++
	q.counts.Started++
}

func (q *Queue) measure(ticket *Ticket, held time.Duration) {
	if q.unmeasured > 0 {
		q.unmeasured--
		return
	}
	q.times.add(ticket.request.Priority, held)
}

func (q *Queue) remove(ticket *Ticket) {
	waiting := q.waiting[ticket.class]
	if index := slices.Index(waiting, ticket); index >= 0 {
		q.waiting[ticket.class] = slices.Delete(waiting, index, index+1)
	}
	ticket.state = ticketDone
}

func (q *Queue) refuseAllWaiting(err error) {
	for _, waiting := range q.waiting {
		for _, ticket := range slices.Clone(waiting) {
			q.refuseTicket(ticket, err)
		}
	}
}

func (q *Queue) refuseTicket(ticket *Ticket, err error) {
	q.remove(ticket)
	ticket.request.OnDecision(err)
}
