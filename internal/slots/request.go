package slots

import "time"

// Request describes a request that wants a slot.
type Request struct {
	// Route names the kind of request, which the time in the slot depends on.
	Route string
	// Priority is the rank in the queue; 0 goes first.
	Priority int
	// Late is set when the request can't meet its objective any more. It goes behind
	// those of its rank that can, so that one late request doesn't make another.
	Late bool
	// Due is when the request should be answered to meet its objective. Within a
	// rank, the request that is due first goes first (earliest deadline first, Liu
	// and Layland, JACM 20(1), 1973).
	Due time.Time
	// MaxWait is the longest predicted wait that is worth queueing for.
	MaxWait time.Duration
}

// before reports whether the request goes ahead of another one that came earlier.
func (r Request) before(other Request) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if r.Late != other.Late {
		return other.Late
	}
	return r.Due.Before(other.Due)
}
