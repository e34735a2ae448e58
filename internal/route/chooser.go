// Package route chooses the backend server for a call.
//
// It owns the load estimates for each backend server, learned from answers. A
// server without estimates is treated as idle but unproven.
package route

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Load is what the node beside a backend server reported with an answer.
type Load struct {
	InFlight int
	Slots    int
	Queued   int
}

// Outcome is what a call to a backend server showed.
type Outcome struct {
	// Priority is the class of the call. Service times are kept for each class;
	// an empty one shares a class of its own.
	Priority config.Priority
	// Elapsed is the time from sending the call to the head of the answer, or to
	// the failure. Zero means that it was not measured, as for a call that its
	// caller cancelled.
	Elapsed time.Duration
	// Failed is set when the server failed; shedding is no failure.
	Failed bool
	// Refused is set when the server or its node refused without running.
	Refused bool
	// Load is nil when the answer carried none.
	Load *Load
}

// Request is what the choice depends on.
type Request struct {
	Target *config.Target
	Now    time.Time
	// Excluded holds the ids of nodes that were tried for this call.
	Excluded []string
	// Random is a uniform 64-bit random number.
	Random uint64
}

// Chooser picks backend servers. It is safe for concurrent use.
type Chooser interface {
	// Choose returns the node whose server should get the call; false when none
	// can take it. Each successful Choose is followed by exactly one Observe.
	Choose(view *member.View, stops []config.Stop, request Request) (member.Record, bool)
	// Observe records the outcome of a call that Choose assigned to the node.
	Observe(node string, now time.Time, outcome Outcome)
}
