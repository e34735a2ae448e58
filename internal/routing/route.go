package routing

import "time"

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent permits a request to run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the target latency, within which a response has its full value.
	Objective time.Duration
	// MaxAttempts bounds the number of backend servers that one request may reach.
	MaxAttempts int
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Public is set when requests need no key, also where others do.
	Public bool
	// Destinations are the services that share the requests; at least one.
	Destinations []Destination
}

// Destination is a service of a route and its share of the requests, as a weight
// relative to the other destinations.
type Destination struct {
	Service string
	Weight  int
}
