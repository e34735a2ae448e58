// Package route chooses the backend server for a call.
//
// It owns the load estimates for each backend server, which it learns from
// responses. A server without estimates is treated as idle, with the mean
// service time of the others.
package route

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Load is what the node of a backend server reported with a response.
type Load struct {
	InFlight int
	Slots    int
	Queued   int
}

// Outcome is the result of a call to a backend server.
type Outcome struct {
	// Priority is the class of the call. Service times are kept by class; calls
	// without a priority form a class of their own.
	Priority config.Priority
	// Elapsed is the time from sending the call to the header of the response,
	// or to the failure. Zero means that it was not measured, for example
	// because the caller cancelled the call.
	Elapsed time.Duration
	// Failed is set when the server failed. Load shedding is not a failure.
	Failed bool
	// Refused is set when the server or its node refused the call before
	// execution.
	Refused bool
	// Load is nil when the response contained no load report.
	Load *Load
}

// Request holds the inputs of a choice.
type Request struct {
	Target *config.Target
	Now    time.Time
	// Excluded holds the ids of the nodes that were already tried for this
	// call.
	Excluded []string
	// Random is a uniformly distributed 64-bit random number.
	Random uint64
}

// Chooser chooses backend servers. It is safe for concurrent use.
type Chooser interface {
	// Choose returns the node whose server should get the call; false when no
	// server is eligible. Each successful Choose must be followed by exactly
	// one Observe.
	Choose(view *member.View, stops []config.Stop, request Request) (member.Record, bool)
	// Observe records the outcome of a call to the node that Choose returned.
	Observe(node string, now time.Time, outcome Outcome)
}
