package admit

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// Request is a call that asks for a slot.
type Request struct {
	Priority config.Priority
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Objective is when the call should be answered to meet its latency
	// objective; zero means that it has none. It matters only during sustained
	// overload.
	Objective time.Time
	// OnDecision is called once for a call that had to wait, when it gets a slot
	// (nil) or is refused after all. It must not call the queue.
	OnDecision func(error)
}
