package retry

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// After holds the times after which callers should send a refused request again.
type After struct {
	// OnTime is that of a request that was refused because of the requests ahead and
	// can still meet its objective afterwards.
	OnTime time.Duration
	// Default is that of all other refusals.
	Default time.Duration
}

// For returns the time for a refusal with the given code. left is the time until the
// request must start to meet its objective. Several slots become free during OnTime,
// so that an overloaded service that accepts most requests can accept the repeated one
// in time. A request that misses its objective anyway is more likely accepted later.
func (a After) For(code result.Code, left time.Duration) time.Duration {
	if code == result.Overloaded && left >= a.OnTime {
		return min(a.OnTime, a.Default)
	}
	return a.Default
}
