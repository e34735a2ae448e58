package uplink

import "time"

const (
	// sizeGain is the weight of a new sample of a route's answer size, so that about
	// the last twenty count.
	sizeGain = 0.05
	// maxRoutes bounds the routes whose answer size is known.
	maxRoutes = 512
)

// queue is the virtual queue of a link. Time is passed in. It is not safe for
// concurrent use; Link is.
type queue struct {
	// rate is in bytes a second; 0 means that it is not known.
	rate     float64
	shortest time.Duration
	// free is when everything that was scheduled has left.
	free time.Time
	// promised is the expected size of the answers that were admitted and are not
	// scheduled yet.
	promised float64
	// sizes holds the average answer size of each route.
	sizes map[string]float64
}

func newQueue(config Config) *queue {
	return &queue{
		rate:     config.Mbps * megabit / bitsPerByte * config.RateShare,
		shortest: config.LargeThreshold, sizes: make(map[string]float64),
	}
}

// onLink returns the time that bytes take on the link.
func (q *queue) onLink(bytes float64) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / q.rate * float64(time.Second))
}

func (q *queue) isLarge(bytes float64) bool { return q.onLink(bytes) >= q.shortest }

// backlog returns how long a new answer would wait for those before it.
func (q *queue) backlog(now time.Time) time.Duration {
	return max(q.free.Sub(now), 0) + q.onLink(q.promised)
}

// admit promises the link to the expected answer of a route; false when the answer
// would not have left after maxWait. An idle link admits any answer.
func (q *queue) admit(now time.Time, route string, maxWait time.Duration) (promised float64, ok bool) {
	size := q.sizes[route]
	if !q.isLarge(size) {
		return 0, true
	}
	if backlog := q.backlog(now); backlog > 0 && backlog+q.onLink(size) > maxWait {
		return 0, false
	}
	q.promised += size
	return size, true
}

// settle takes a promise back, once the answer is scheduled or will not come.
func (q *queue) settle(promised float64) { q.promised = max(q.promised-promised, 0) }

// schedule puts an answer at the end of the queue and returns when its first byte
// may leave. Small answers don't wait, but those after them do.
func (q *queue) schedule(now time.Time, bytes int64) time.Time {
	start := now
	if q.free.After(now) {
		start = q.free
	}
	q.free = start.Add(q.onLink(float64(bytes)))
	if !q.isLarge(float64(bytes)) {
		return now
	}
	return start
}

// withdraw takes bytes off the queue that will not be sent.
func (q *queue) withdraw(now time.Time, bytes int64) {
	q.free = q.free.Add(-q.onLink(float64(bytes)))
	if q.free.Before(now) {
		q.free = now
	}
}

// sized notes the size of a route's answer.
func (q *queue) sized(route string, bytes int64) {
	old, found := q.sizes[route]
	if !found {
		if len(q.sizes) >= maxRoutes {
			clear(q.sizes)
		}
		old = float64(bytes)
	}
	q.sizes[route] = old + sizeGain*(float64(bytes)-old)
}
