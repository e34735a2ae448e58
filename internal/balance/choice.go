package balance

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// Choice is the node that receives a request.
type Choice struct {
	Entry fleet.Entry
	// Distance is the distance to the node.
	Distance Distance
	// RTT is the measured round-trip time, or the assumed one before the first
	// measurement.
	RTT time.Duration
	// ServiceTime is the predicted time at the server.
	ServiceTime time.Duration
	// Cost is the estimated cost of the node, in units of the value of one
	// request.
	Cost float64
	// LoadAge is the age of the load report behind the estimate; negative when
	// there is none.
	LoadAge time.Duration
}
