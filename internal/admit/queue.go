package admit

import (
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

const (
	// queuePerSlot is the maximum number of queued calls per slot.
	queuePerSlot = 4
	// downloadQueuePerSlot is the maximum number of queued downloads per slot.
	// It keeps downloads from filling the queue.
	downloadQueuePerSlot = 2
	// maxDownloadDelay is how long a download waits behind other calls before
	// it takes precedence over them, one download at a time.
	maxDownloadDelay = time.Second
	// interactiveIdlePeriod is the time without a new lookup or order after
	// which downloads may exceed their share. It keeps slots free for the next
	// order of a service that serves both.
	interactiveIdlePeriod = 10 * time.Second
)

// Queue decides which calls to one backend server run. Its methods take the
// current time as an argument. It is not safe for concurrent use; Controller
// is.
type Queue struct {
	limit             limit
	serviceTimes      serviceTimes
	overload          overload
	waiting           [classCount][]*Ticket
	running           [classCount]int
	runningBy         map[config.Priority]int
	draining          bool
	lastInteractiveAt time.Time
	// unsampledReleases is the number of upcoming releases that belong to calls
	// refused by the server. Their short durations are not samples of the
	// service time.
	unsampledReleases int
	counts            Counts
}

// NewQueue returns a queue without a server, which refuses every call.
func NewQueue() *Queue {
	return &Queue{runningBy: make(map[config.Priority]int)}
}

// Open sets the capacity of a server that became ready. It ends a drain. The
// server is assumed to serve lookups or orders until none was offered for
// interactiveIdlePeriod.
func (q *Queue) Open(now time.Time, capacity Capacity) {
	q.draining = false
	q.lastInteractiveAt = now
	q.limit = limit{capacity: capacity}
	q.Dispatch(now)
}

// Resize changes the slots and connections without starting a new ramp. Running
// calls finish even if they exceed the new limit. Without capacity all queued
// calls are refused.
func (q *Queue) Resize(now time.Time, slots, connections int) {
	q.limit.capacity.Slots = slots
	q.limit.capacity.Connections = connections
	if q.limit.at(now) == 0 {
		q.refuseAllWaiting(errNoServer)
	}
	q.Dispatch(now)
}

// Offer starts a call, queues it or refuses it. The error has a result
// code; the ticket is nil with an error.
func (q *Queue) Offer(now time.Time, request Request) (*Ticket, error) {
	ticket := &Ticket{request: request, class: classOf(request.Priority), offeredAt: now}
	q.Dispatch(now)
	if ticket.class == interactive {
		q.lastInteractiveAt = now
	}
	if err := q.checkAdmission(now, ticket); err != nil {
		return nil, err
	}
	if q.canStart(now, ticket.class) {
		q.start(now, ticket)
		return ticket, nil
	}
	if err := q.checkEnqueue(now, ticket); err != nil {
		return nil, err
	}
	q.waiting[ticket.class] = append(q.waiting[ticket.class], ticket)
	return ticket, nil
}

// Finish releases the slot of a running call. It has no effect on other calls.
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

// Abandon releases the slot of a running call or removes a call from the queue.
func (q *Queue) Abandon(now time.Time, ticket *Ticket) {
	if ticket.state == ticketRunning {
		q.Finish(now, ticket)
		return
	}
	if ticket.state == ticketWaiting {
		q.remove(ticket)
	}
}

// ServerRefused temporarily lowers the concurrency limit after the server
// responded that it did not run a call. It must be called before Finish for
// that call.
func (q *Queue) ServerRefused(now time.Time) {
	q.counts.ServerRefused++
	q.unsampledReleases++
	q.limit.reduce(now, q.Running())
}

// Drain refuses all queued and new calls; running calls finish.
func (q *Queue) Drain() {
	q.draining = true
	q.counts.Draining += uint64(q.Waiting())
	q.refuseAllWaiting(errDraining)
}

// Dispatch starts queued calls while slots are free. It must also be called
// periodically while calls are queued, because the concurrency limit grows with
// time.
func (q *Queue) Dispatch(now time.Time) {
	for q.Running() < q.limit.at(now) {
		ticket := q.next(now)
		if ticket == nil {
			break
		}
		if q.missesObjective(now, ticket) {
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

// Running returns the number of running calls.
func (q *Queue) Running() int { return q.running[interactive] + q.running[download] }

// Waiting returns the number of queued calls.
func (q *Queue) Waiting() int { return len(q.waiting[interactive]) + len(q.waiting[download]) }

// Slots returns the current concurrency limit.
func (q *Queue) Slots(now time.Time) int { return q.limit.at(now) }

// Draining reports whether the queue refuses all new calls because of a drain.
func (q *Queue) Draining() bool { return q.draining }

// Counts returns the totals since the queue was created.
func (q *Queue) Counts() Counts { return q.counts }

func (q *Queue) start(now time.Time, ticket *Ticket) {
	ticket.state = ticketRunning
	ticket.startedAt = now
	q.running[ticket.class]++
	q.runningBy[ticket.request.Priority]++
	q.counts.Started++
}

func (q *Queue) measure(ticket *Ticket, duration time.Duration) {
	if q.unsampledReleases > 0 {
		q.unsampledReleases--
		return
	}
	q.serviceTimes.add(ticket.request.Priority, duration)
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
