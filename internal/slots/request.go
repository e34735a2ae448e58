package slots

import "time"

// Request describes a request that wants a slot.
type Request struct {
	// Route names the kind of request, which the time in the slot depends on.
	Route string
	// Priority is the rank in the queue; 0 goes first.
	Priority int
	// MaxWait is the longest predicted wait that is worth queueing for.
	MaxWait time.Duration
}
