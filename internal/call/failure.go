package call

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Failure describes a failed attempt to a Policy.
type Failure struct {
	// Attempt is the number of the failed attempt, from 1.
	Attempt int
	Code    result.Code
	Run     result.RunState
	// Idempotent is set when the call may run more than once.
	Idempotent bool
	// Nested is set when the caller is itself retrying or is a service that runs a
	// call; such a call is not retried after hand-over.
	Nested bool
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}
