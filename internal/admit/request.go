package admit

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// Request is a call that requests a slot.
type Request struct {
	Priority config.Priority
	// Deadline is when the caller stops waiting; the zero time means no
	// deadline.
	Deadline time.Time
	// Objective is when the call must complete to meet its latency objective;
	// the zero time means no objective. It is used only during sustained
	// overload.
	Objective time.Time
	// OnDecision is called exactly once for a queued call that is not
	// abandoned: with nil when the call starts, or with an error when it is
	// refused. It must not call methods of the queue.
	OnDecision func(error)
}
