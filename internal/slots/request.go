package slots

import (
	"cmp"
	"time"
)

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
	// Deadline is when the request must be answered.
	Deadline time.Time
	// MaxWait is the longest predicted wait that is worth queueing for.
	MaxWait time.Duration
}

// compare orders requests as they run.
func (r Request) compare(other Request) int {
	if r.Late != other.Late && r.Priority == other.Priority {
		if r.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.Priority, other.Priority), r.Due.Compare(other.Due))
}
