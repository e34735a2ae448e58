package registry

import "time"

// backoff doubles the pause after each failure and spreads it, so that nodes that
// failed together don't return together.
type backoff struct {
	first, most time.Duration
	random      func() float64
	failures    int
}

func (r *Registry) newBackoff() *backoff {
	return &backoff{first: r.config.FirstRetry, most: r.config.MaxRetry, random: r.deps.Random}
}

// maxDoublings keeps the shift far from an overflow.
const maxDoublings = 16

func (b *backoff) next() time.Duration {
	d := min(b.first<<min(b.failures, maxDoublings), b.most)
	b.failures++
	return d/2 + time.Duration(b.random()*float64(d)/2)
}

func (b *backoff) reset() { b.failures = 0 }
