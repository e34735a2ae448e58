package balance

import "time"

// Request describes the request that a node is chosen for.
type Request struct {
	Route string
	// Remaining is the time left until the objective of the request is missed.
	Remaining time.Duration
	// Objective is the full response time objective; 0 or less when there is
	// none.
	Objective time.Duration
	// Excluded lists the nodes that were tried already.
	Excluded []string
	// Random returns a number from 0 up to, but not including, 1. It spreads
	// equal choices.
	Random func() float64
}
