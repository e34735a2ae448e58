package instance

import (
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// departureTTL is how long a departure is kept. The announcements of a run arrive
	// seconds late at most.
	departureTTL = 30 * time.Second
	// maxDepartures bounds the departures, because any process of the host can report one.
	maxDepartures = 64
)

// departures holds the runs that have left in the last departureTTL. A run may leave before
// its first announcement has arrived, so it need not have been the known one.
type departures []departure

type departure struct {
	fleet.Departure
	// exact is set when the departure is only that of the run which started at StartedBy.
	exact bool
	at    time.Time
}

// add records a departure. The oldest one is dropped when there are too many.
func (d *departures) add(left departure) {
	*d = slices.DeleteFunc(*d, func(other departure) bool {
		return (other.Departure == left.Departure && other.exact == left.exact) || left.at.Sub(other.at) >= departureTTL
	})
	if len(*d) >= maxDepartures {
		*d = slices.Delete(*d, 0, 1)
	}
	*d = append(*d, left)
}

// covers reports whether an announcement comes from a run that has left.
func (d departures) covers(now time.Time, a Announcement) bool {
	return slices.ContainsFunc(d, func(left departure) bool {
		return left.Server == a.Server && now.Sub(left.at) < departureTTL &&
			(a.StartTime == left.StartedBy || (a.StartTime < left.StartedBy && !left.exact))
	})
}

// latestDepartures returns the departures for the entry of the node after another one.
func latestDepartures(known []fleet.Departure, left fleet.Departure) []fleet.Departure {
	if slices.Contains(known, left) {
		return known
	}
	first := max(0, len(known)+1-fleet.MaxDepartures)
	return append(slices.Clone(known[first:]), left)
}
