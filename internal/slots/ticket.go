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
	// refused is set, before admitted is closed, when the request will not run.
	refused error
}

// refuse ends the wait of a request that will not run.
func (t *ticket) refuse(reason error) {
	t.state, t.refused = done, reason
	close(t.admitted)
}
