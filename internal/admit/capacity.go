package admit

import "time"

// Capacity is what a backend server announced about itself.
type Capacity struct {
	// Slots is the number of calls that the server runs at a time; 0 means that
	// there is no server.
	Slots int
	// Connections bounds the connections to the server. Each running call holds
	// one.
	Connections int
	// ReadySince is when the server became ready; the ramp starts here.
	ReadySince time.Time
}

// concurrency returns the highest number of calls that may run.
func (c Capacity) concurrency() int {
	return max(0, min(c.Slots, c.Connections))
}
