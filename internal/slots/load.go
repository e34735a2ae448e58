package slots

import "time"

// Load is a snapshot of the request queue.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// HoldTime is the average time that a request holds a slot.
	HoldTime time.Duration
	// Limit is the rate at which requests start, in requests a second; 0 without a
	// limit.
	Limit float64
}
