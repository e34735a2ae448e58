package routing

import "time"

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection of a caller may stay idle.
	IdleTimeout time.Duration
}
