package retry

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Failure describes a failed attempt of a call.
type Failure struct {
	// Code is the result code of the attempt.
	Code result.Code
	// Run says whether the attempt ran on a backend server.
	Run result.RunState
	// Idempotent is taken from the call's target.
	Idempotent bool
	// Attempts is the number of attempts that this node made, at least 1.
	Attempts int
	// AttemptHeader is the Rosemaryladder-Attempt of the call as it arrived at
	// this node; 0 when it had none.
	AttemptHeader int
	// Depth is the Rosemaryladder-Depth of the call as it arrived.
	Depth int
	// Remaining is the time left until the call's deadline.
	Remaining time.Duration
}
