// Package admit decides at the node beside a backend server whether and when a
// call runs: slots, a bounded queue by priority, the ramp after a cold start
// and shedding.
//
// It owns the queue. A call that cannot run within its deadline is refused at
// once.
package admit

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// Admitter admits calls to one backend server. It is safe for concurrent use.
type Admitter interface {
	// Acquire waits for a slot until the context ends. The returned function
	// frees the slot and must be called exactly once. The error carries a result
	// code; nothing ran.
	Acquire(ctx context.Context, priority config.Priority) (release func(), err error)
	// AcquireWithin is Acquire for a call that should be answered at the objective
	// time. During sustained overload a call that would miss it is refused at once.
	AcquireWithin(ctx context.Context, priority config.Priority, objective time.Time) (release func(), err error)
	// ServerRefused lowers the working limit for a short time because the server
	// refused a call without running it.
	ServerRefused()
	// Load returns the calls running, the slots and the calls queued.
	Load() (inFlight, slots, queued int)
}
