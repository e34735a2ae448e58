package slots

import "time"

type ticketState int

const (
	waiting ticketState = iota
	running
	done
)

// ticket is a request that waits or runs.
type ticket struct {
	request Request
	state   ticketState
	started time.Time
	// admitted is closed when the request may run.
	admitted chan struct{}
	// refused is set, before admitted is closed, when the queue was closed.
	refused error
}
