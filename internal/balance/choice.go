package balance

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// Choice is the node that gets a request.
type Choice struct {
	Entry fleet.Entry
	// Distance is what lies between the two nodes.
	Distance Distance
	// RTT is the measured round trip.
	RTT time.Duration
	// ServiceTime is the predicted time at the server.
	ServiceTime time.Duration
	// Cost is the estimate that decided, in units of the worth of one request.
	Cost float64
	// LoadAge is how old the load is that the estimate used; negative without one.
	LoadAge time.Duration
}
