package admit

import "time"

// Capacity is the capacity that a backend server announced.
type Capacity struct {
	// Slots is the maximum number of concurrent calls; 0 means that there is no
	// server.
	Slots int
	// Connections is the maximum number of connections to the server. Each
	// running call uses one.
	Connections int
	// ReadySince is when the server became ready, which starts the ramp.
	ReadySince time.Time
}

// concurrency returns the maximum number of concurrent calls.
func (c Capacity) concurrency() int {
	return max(0, min(c.Slots, c.Connections))
}
