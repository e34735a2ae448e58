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
	// Idempotent is the setting of the call's target.
	Idempotent bool
	// Attempts is the number of attempts that this node has made; at least 1.
	Attempts int
	// AttemptHeader is the value of Rosemaryladder-Attempt that this node received
	// with the call; 0 when the header is absent.
	AttemptHeader int
	// Depth is the value of Rosemaryladder-Depth that this node received.
	Depth int
	// Remaining is the time left until the call's deadline.
	Remaining time.Duration
}
