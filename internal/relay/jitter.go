package relay

import (
	"context"
	"time"
)

// fullJitter returns a random duration from 0 to base doubled attempt times, at
// most limit.
func fullJitter(base, limit time.Duration, attempt int, random float64) time.Duration {
	return time.Duration(random * float64(min(base<<min(attempt, 16), limit)))
}

// withJitter returns the interval with a random deviation of up to a fifth.
func withJitter(interval time.Duration, random float64) time.Duration {
	return time.Duration(float64(interval) * (0.8 + 0.4*random))
}

// sleep waits and returns true, or false when the context ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
