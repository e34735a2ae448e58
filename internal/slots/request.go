package slots

import (
	"cmp"
	"time"
)

// Request describes a request for a slot.
type Request struct {
	// Route names the route, for which the hold time is averaged separately.
	Route string
	// Workspace is the workspace of the caller, which shares the slots with the others of
	// the same priority; empty for a request that has none.
	Workspace string
	// Priority orders the queue; 0 runs first.
	Priority int
	// Late is set when the request can't meet its objective any more. It runs after
	// those of the same priority that can, so that it doesn't make another one late.
	Late bool
	// Short is set by the queue for a request that takes far less time than others.
	Short bool
	// Due is when the response should be sent to meet the objective. Within a priority,
	// the request that is due first runs first (earliest deadline first, Liu and
	// Layland, JACM 20(1), 1973).
	Due time.Time
	// Deadline is the latest time at which the response is of use to the caller.
	Deadline time.Time
	// MaxWait is the predicted wait above which the request is refused instead of
	// queued.
	MaxWait time.Duration
	// turn is the time by which the queue orders the request.
	turn time.Time
	// beyond is set for a request beyond the part of its workspace.
	beyond bool
}

// compare orders requests by when they run; it is negative when r runs before other.
func (r Request) compare(other Request) int {
	if r.Late != other.Late && r.Priority == other.Priority {
		if r.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(r.Priority, other.Priority), r.turn.Compare(other.turn))
}
