package registry

import "time"

// backoff is an exponential backoff with jitter, so that nodes that failed together
// do not retry together.
type backoff struct {
	initial, maximum time.Duration
	random           func() float64
	failures         int
}

func (r *Registry) newBackoff() *backoff {
	return &backoff{initial: r.config.FirstRetry, maximum: r.config.MaxRetry, random: r.deps.Random}
}

// maxDoublings keeps the shift far from overflow.
const maxDoublings = 16

// next returns the delay before the next attempt: between half of the current backoff
// and all of it.
func (b *backoff) next() time.Duration {
	delay := min(b.initial<<min(b.failures, maxDoublings), b.maximum)
	b.failures++
	return delay/2 + time.Duration(b.random()*float64(delay)/2)
}

func (b *backoff) reset() { b.failures = 0 }
