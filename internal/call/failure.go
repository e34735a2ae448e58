package call

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Failure describes a failed attempt to a Policy.
type Failure struct {
	// Attempt is the number of the failed attempt, starting at 1.
	Attempt int
	Code    result.Code
	Run     result.RunState
	// Idempotent is set when the call may run more than once.
	Idempotent bool
	// Nested is set when the caller is itself retrying or is a service that is
	// running a call. Such a call is not retried once it was sent to a backend
	// server.
	Nested bool
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}
