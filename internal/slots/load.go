package slots

import "time"

// Load is the state of a queue at one moment.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// HoldTime is the average time that a request holds a slot.
	HoldTime time.Duration
}
