package slots

import (
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// maxWaitingPerSlot bounds the queue regardless of the predicted wait, because
	// there is no prediction before the first requests have finished.
	maxWaitingPerSlot = 8
	// shortRatio is the ratio to the hold time of the request in an average busy slot
	// below which a route's requests count as short.
	shortRatio = 0.5
	// maxShortShare bounds the share of short requests in the prediction of a wait, so
	// that some requests are queued whatever it is.
	maxShortShare = 0.9
	// maxRoutes bounds the routes with a hold time average of their own.
	maxRoutes = 512
)

// queue holds the waiting requests of one server and counts the running ones.
// Callers pass in the current time. It is not safe for concurrent use; Controller
// is.
type queue struct {
	slots   int
	running int
	waiting []*ticket
	overall holdTimeAverage
	// busySlot describes the request in an average busy slot.
	busySlot slotTimeAverage
	routes   map[string]*holdTimeAverage
	// shares counts the requests of each workspace.
	shares workspaceShares
	// onTime, late, short and beyond relate the waits of requests that can meet their
	// objective, of those that can't any more, of short ones, and of those beyond the part
	// of their workspace to their predictions.
	onTime, late, short, beyond waitRatio
	// limit is the rate at which requests start; nil without a limit.
	limit *rateLimit
	// closeReason is the error with which every request is refused; nil while open.
	closeReason error
}

func newQueue() *queue {
	return &queue{routes: make(map[string]*holdTimeAverage), shares: newWorkspaceShares()}
}

// submit starts a request, queues it or refuses it.
func (q *queue) submit(now time.Time, request Request) (*ticket, error) {
	if q.closeReason != nil {
		return nil, q.closeReason
	}
	if request.Short = q.isShort(now, request.Route); request.Short {
		request.Late = false
		request.MaxWait = max(request.MaxWait, request.Deadline.Sub(now)-time.Duration(q.predictHoldTime(now, request.Route)))
	}
	request.turn, request.beyond = q.turn(now, request)
	t := &ticket{request: request, expected: q.predictHoldTime(now, request.Route), admitted: make(chan struct{})}
	if q.running < q.slots && q.countAhead(request) == 0 && q.takeToken(now) {
		q.shares.add(now, request.Workspace)
		q.start(now, t)
		return t, nil
	}
	if len(q.waiting) >= maxWaitingPerSlot*q.slots {
		return nil, result.Errorf(result.Overloaded, "the queue is full: %d requests wait for %d slots", len(q.waiting), q.slots)
	}
	byLimit := q.waitByLimit(now, q.countAhead(request))
	t.queued, t.predicted = now, max(q.predictWait(request), byLimit)
	if wait := max(q.ratioOf(request).apply(now, t.predicted), byLimit); wait > request.MaxWait {
		return nil, result.Errorf(result.Overloaded, "the predicted wait of %s exceeds %s", wait.Round(time.Millisecond), request.MaxWait.Round(time.Millisecond))
	}
	q.shares.add(now, request.Workspace)
	q.insert(t)
	return t, nil
}

// refuse ends the wait of a request without running it.
func (q *queue) refuse(now time.Time, t *ticket, reason error) {
	q.shares.remove(now, t.request.Workspace)
	t.refuse(reason)
}

// finish frees the slot of a request. The hold time of an aborted request is not
// recorded, because it doesn't predict that of others.
func (q *queue) finish(now time.Time, t *ticket, complete bool) {
	if t.state != running {
		return
	}
	t.state = done
	q.shares.remove(now, t.request.Workspace)
	q.running--
	if complete {
		holdTime := now.Sub(t.started)
		q.overall.add(now, holdTime)
		route := q.routeAverage(t.request.Route)
		route.add(now, holdTime)
		q.busySlot.add(holdTime, route.at(now), t.request.Short)
	}
	q.dispatch(now)
}

// abandon removes a waiting request. It returns false when the request runs already
// or has ended.
func (q *queue) abandon(now time.Time, t *ticket) bool {
	if t.state != waiting {
		return false
	}
	t.state = done
	q.shares.remove(now, t.request.Workspace)
	q.ratioOf(t.request).observe(now, t.predicted, now.Sub(t.queued), q.slotInterval(now))
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return true
}

// open sets the number of slots and admits requests.
func (q *queue) open(now time.Time, slots int) {
	q.closeReason = nil
	q.slots = slots
	q.dispatch(now)
}

// close refuses all waiting and all new requests with reason.
func (q *queue) close(now time.Time, reason error) {
	q.closeReason = reason
	for _, t := range q.waiting {
		q.refuse(now, t, reason)
	}
	q.waiting = nil
}

func (q *queue) dispatch(now time.Time) {
	if q.running < q.slots && len(q.waiting) > 0 {
		q.demote(now)
	}
	for q.running < q.slots && len(q.waiting) > 0 && q.takeToken(now) {
		next := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.ratioOf(next.request).observe(now, next.predicted, now.Sub(next.queued), q.slotInterval(now))
		q.start(now, next)
	}
}

func (q *queue) start(now time.Time, t *ticket) {
	t.state, t.started = running, now
	q.running++
	close(t.admitted)
}

// demote moves the requests that missed their objective while they waited behind
// those of the same priority that can still meet it.
func (q *queue) demote(now time.Time) {
	var demoted []*ticket
	interval := q.slotInterval(now)
	for _, t := range q.waiting {
		expected := time.Duration(q.predictHoldTime(now, t.request.Route))
		if !t.request.Late && now.Add(expected).After(t.request.Due) && !q.isShort(now, t.request.Route) {
			q.ratioOf(t.request).observe(now, t.predicted, now.Sub(t.queued), interval)
			t.request.Late = true
			demoted = append(demoted, t)
		}
	}
	if len(demoted) == 0 {
		return
	}
	slices.SortStableFunc(q.waiting, func(a, b *ticket) int { return a.request.compare(b.request) })
	work := q.busySlot.holdTime
	for ahead, t := range q.waiting {
		if slices.Contains(demoted, t) {
			t.queued, t.predicted = now, max(q.waitBehind(work, false), q.waitByLimit(now, ahead))
		}
		work += t.expected
	}
	q.refuseUnmeetable(now)
}

// refuseUnmeetable refuses the late requests that, from their position in the
// queue, can't be served before their deadline, instead of holding them until then.
func (q *queue) refuseUnmeetable(now time.Time) {
	interval := q.slotInterval(now)
	work := q.busySlot.holdTime
	remaining := q.waiting[:0]
	for _, t := range q.waiting {
		wait := max(q.late.apply(now, q.waitBehind(work, false)), q.waitByLimit(now, len(remaining)))
		expectedEnd := now.Add(wait + time.Duration(q.predictHoldTime(now, t.request.Route)))
		if t.request.Late && expectedEnd.After(t.request.Deadline) {
			q.late.observe(now, t.predicted, now.Sub(t.queued), interval)
			q.refuse(now, t, result.Errorf(result.DeadlineNotRun, "the requests ahead leave no time before the deadline"))
			continue
		}
		work += t.expected
		remaining = append(remaining, t)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
}

// insert queues a request at its position in the order of execution.
func (q *queue) insert(t *ticket) {
	q.waiting = slices.Insert(q.waiting, q.countAhead(t.request), t)
}

// countAhead returns the number of waiting requests that run before a new one.
func (q *queue) countAhead(request Request) int {
	n := len(q.waiting)
	for n > 0 && request.compare(q.waiting[n-1].request) < 0 {
		n--
	}
	return n
}

// predictWait returns the predicted wait of a new request: the time in which the slots
// do the work ahead of it, which is the rest of what runs and the requests that are
// queued before it.
func (q *queue) predictWait(request Request) time.Duration {
	if q.running < q.slots && len(q.waiting) == 0 {
		return 0
	}
	work := q.busySlot.holdTime
	for _, t := range q.waiting[:q.countAhead(request)] {
		work += t.expected
	}
	return q.waitBehind(work, request.Short)
}

// waitBehind returns the wait of a request behind an amount of work, given as the time
// in nanoseconds that one slot needs for it. Short requests that arrive meanwhile
// overtake the others, so that only the slots that they leave count (Cobham, Operations
// Research 2(1), 1954).
func (q *queue) waitBehind(work float64, short bool) time.Duration {
	if q.slots == 0 {
		return 0
	}
	wait := work / float64(q.slots)
	if !short {
		wait /= 1 - min(q.busySlot.shortShare, maxShortShare)
	}
	return time.Duration(wait)
}

// slotInterval returns the average time in which one slot becomes free.
func (q *queue) slotInterval(now time.Time) time.Duration {
	if q.slots == 0 {
		return 0
	}
	return time.Duration(q.overall.at(now) / float64(q.slots))
}

// ratioOf returns the ratio of actual to predicted waits of requests like this one.
// Short requests overtake others, so that they have one of their own.
func (q *queue) ratioOf(request Request) *waitRatio {
	switch {
	case request.Short:
		return &q.short
	case request.Late:
		return &q.late
	case request.beyond:
		// They are overtaken by those within their part, which must not raise the
		// predictions for these.
		return &q.beyond
	default:
		return &q.onTime
	}
}

// isShort reports whether a route's requests take far less time than the request in
// an average busy slot. Refusing them would free hardly any capacity (shortest job
// first, Schrage, Operations Research 16(3), 1968) and often wastes more elsewhere,
// since they are mostly calls made by requests that run already. The average over
// requests is not used: many short requests lower it until none counts as short.
func (q *queue) isShort(now time.Time, route string) bool {
	h := q.routes[route]
	return h != nil && h.at(now) < shortRatio*q.busySlot.holdTime
}

// predictHoldTime returns the predicted hold time of a route's request, in
// nanoseconds: the average of the route, or of all requests for an unknown route.
func (q *queue) predictHoldTime(now time.Time, route string) float64 {
	if h := q.routes[route]; h != nil {
		return h.at(now)
	}
	return q.overall.at(now)
}

func (q *queue) routeAverage(name string) *holdTimeAverage {
	h := q.routes[name]
	if h == nil {
		if len(q.routes) >= maxRoutes {
			clear(q.routes)
		}
		h = &holdTimeAverage{}
		q.routes[name] = h
	}
	return h
}

func (q *queue) load(now time.Time) Load {
	load := Load{
		Running:  q.running,
		Waiting:  len(q.waiting),
		Slots:    q.slots,
		HoldTime: time.Duration(q.overall.at(now)),
	}
	if q.limit != nil {
		load.Limit = q.limit.perSecond
	}
	return load
}
