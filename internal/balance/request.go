package balance

import "time"

// Request describes what a server is chosen for.
type Request struct {
	Route string
	// Remaining is the time left to the objective of the request.
	Remaining time.Duration
	// Objective is the whole time of the objective.
	Objective time.Duration
	// Excluded holds the nodes that were tried.
	Excluded []string
	// Random spreads equal choices; 0 to 1.
	Random func() float64
}
