package slots

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// setLimit bounds the rate at which requests start, or ends the bound with NoLimit. It
// reports whether the bound has changed.
func (q *queue) setLimit(now time.Time, perSecond float64) bool {
	rate := max(perSecond, minRate)
	switch {
	case perSecond < 0 && q.limit == nil, perSecond >= 0 && q.limit != nil && q.limit.perSecond == rate:
		return false
	case perSecond < 0:
		q.limit = nil
	case q.limit == nil:
		q.limit = newRateLimit(now, rate)
	default:
		q.limit.setRate(now, rate)
	}
	if q.limit != nil {
		q.refuseBeyondLimit(now)
	}
	q.dispatch(now)
	return true
}

// refuseBeyondLimit refuses the waiting requests that the rate limit delays for longer
// than they may wait, so that another server can take them.
func (q *queue) refuseBeyondLimit(now time.Time) {
	remaining := q.waiting[:0]
	for _, t := range q.waiting {
		wait := q.waitByLimit(now, len(remaining))
		if wait > t.request.MaxWait-now.Sub(t.queued) {
			q.refuse(now, t, result.Errorf(result.Overloaded, "the server takes %.3g requests a second, so the wait of %s exceeds %s", q.limit.perSecond, wait.Round(time.Millisecond), t.request.MaxWait.Round(time.Millisecond)))
			continue
		}
		remaining = append(remaining, t)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
}

// takeToken reports whether the rate limit lets a request start, and counts it.
func (q *queue) takeToken(now time.Time) bool { return q.limit == nil || q.limit.take(now) }

// charge counts a request that is sent without a slot of its own.
func (q *queue) charge(now time.Time) {
	if q.limit != nil {
		q.limit.charge(now)
	}
}

// waitByLimit returns the time until the rate limit lets a request start with a number of
// requests ahead of it.
func (q *queue) waitByLimit(now time.Time, ahead int) time.Duration {
	if q.limit == nil {
		return 0
	}
	return q.limit.waitFor(now, ahead+1)
}

// nextStart returns the time until the rate limit lets the first waiting request start;
// false when it waits for nothing or for a slot.
func (q *queue) nextStart(now time.Time) (time.Duration, bool) {
	if q.limit == nil || len(q.waiting) == 0 || q.running >= q.slots {
		return 0, false
	}
	return q.waitByLimit(now, 0), true
}
