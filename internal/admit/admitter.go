// Package admit implements admission control at the node beside a backend
// server. It decides whether and when a call runs: it limits concurrency to the
// slots of the server, queues calls by priority in a bounded queue, ramps up a
// server that has just started and sheds load during sustained overload.
//
// The queue belongs to this package. A call that is not expected to get a slot
// before its deadline is refused at once.
package admit

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// Admitter admits calls to one backend server. It is safe for concurrent use.
type Admitter interface {
	// Acquire waits for a slot until the context ends. The caller must call the
	// returned function exactly once to release the slot. An error has a
	// result code and means that the call did not run.
	Acquire(ctx context.Context, priority config.Priority) (release func(), err error)
	// AcquireWithin is Acquire for a call that must complete by objective to
	// meet its latency objective. During sustained overload a call that is
	// expected to miss it is refused at once. The zero time means no objective.
	AcquireWithin(ctx context.Context, priority config.Priority, objective time.Time) (release func(), err error)
	// ServerRefused temporarily lowers the concurrency limit after the server
	// refused a call without running it.
	ServerRefused()
	// Load returns the number of running calls, of slots that may be used now
	// and of queued calls.
	Load() (inFlight, slots, queued int)
}
