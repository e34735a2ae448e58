package registry

import "time"

// backoff doubles the pause after each failure and spreads it, so that nodes that
// failed together don't return together.
type backoff struct {
	initial, maximum time.Duration
	random           func() float64
	failures         int
}

func (r *Registry) newBackoff() *backoff {
	return &backoff{initial: r.config.FirstRetry, maximum: r.config.MaxRetry, random: r.deps.Random}
}

// maxDoublings keeps the shift far from an overflow.
const maxDoublings = 16

func (b *backoff) next() time.Duration {
	d := min(b.initial<<min(b.failures, maxDoublings), b.maximum)
	b.failures++
	return d/2 + time.Duration(b.random()*float64(d)/2)
}

func (b *backoff) reset() { b.failures = 0 }
