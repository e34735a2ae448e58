package routing

import "time"

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// MaxAttempts bounds the backend servers that one request may reach.
	MaxAttempts int
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// Destinations are the services that share the requests; at least one.
	Destinations []Destination
}

// Destination is a service's share of a route.
type Destination struct {
	Service string
	Weight  int
}
