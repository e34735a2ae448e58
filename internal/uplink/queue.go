package uplink

import "time"

const (
	// sizeSmoothing is the weight of a new sample of a route's response size. The
	// average covers about the last twenty samples.
	sizeSmoothing = 0.05
	// maxRoutes bounds the routes whose response size is known.
	maxRoutes = 512
)

// queue is the virtual queue of a link. Callers pass in the current time. It is
// not safe for concurrent use; Link is.
type queue struct {
	// rate is in bytes per second; 0 when it is unknown.
	rate           float64
	largeThreshold time.Duration
	// freeAt is when everything that was scheduled will have left.
	freeAt time.Time
	// reserved is the expected size in bytes of the responses that were admitted
	// and are not scheduled yet.
	reserved float64
	// sizes holds the average response size of each route in bytes.
	sizes map[string]float64
}

func newQueue(config Config) *queue {
	return &queue{
		rate:           config.Mbps * bitsPerMegabit / bitsPerByte * config.RateShare,
		largeThreshold: config.LargeThreshold, sizes: make(map[string]float64),
	}
}

// transmitTime returns the time that bytes take on the link.
func (q *queue) transmitTime(bytes float64) time.Duration {
	if q.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / q.rate * float64(time.Second))
}

func (q *queue) isLarge(bytes float64) bool { return q.transmitTime(bytes) >= q.largeThreshold }

// backlog returns how long a new response would wait for those ahead of it.
func (q *queue) backlog(now time.Time) time.Duration {
	return max(q.freeAt.Sub(now), 0) + q.transmitTime(q.reserved)
}

// reserve reserves capacity for the expected response of a route. It returns the
// bytes reserved, or false when the response would not have left after maxWait.
// An idle link admits any response.
func (q *queue) reserve(now time.Time, route string, maxWait time.Duration) (reserved float64, ok bool) {
	size := q.sizes[route]
	if !q.isLarge(size) {
		return 0, true
	}
	if backlog := q.backlog(now); backlog > 0 && backlog+q.transmitTime(size) > maxWait {
		return 0, false
	}
	q.reserved += size
	return size, true
}

// release ends a reservation once the response is scheduled or will not come.
func (q *queue) release(reserved float64) { q.reserved = max(q.reserved-reserved, 0) }

// schedule appends a response to the queue and returns when its first byte may
// leave. Small responses don't wait, but those after them do.
func (q *queue) schedule(now time.Time, bytes int64) time.Time {
	start := now
	if q.freeAt.After(now) {
		start = q.freeAt
	}
	q.freeAt = start.Add(q.transmitTime(float64(bytes)))
	if !q.isLarge(float64(bytes)) {
		return now
	}
	return start
}

// unschedule removes bytes that will not be sent.
func (q *queue) unschedule(now time.Time, bytes int64) {
	q.freeAt = q.freeAt.Add(-q.transmitTime(float64(bytes)))
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
}

// observeSize records the size of a route's response.
func (q *queue) observeSize(route string, bytes int64) {
	old, found := q.sizes[route]
	if !found {
		if len(q.sizes) >= maxRoutes {
			clear(q.sizes)
		}
		old = float64(bytes)
	}
	q.sizes[route] = old + sizeSmoothing*(float64(bytes)-old)
}
