package slots

import "time"

type ticketState int

const (
	waiting ticketState = iota
	running
	done
)

// ticket tracks a request from its submission to its end.
type ticket struct {
	request Request
	state   ticketState
	started time.Time
	// expected is the predicted hold time, in nanoseconds.
	expected float64
	// queued is when the request got its position in the queue, or lost it by becoming
	// late, and predicted the wait that its position told then.
	queued    time.Time
	predicted time.Duration
	// admitted is closed when the request may run or has been refused.
	admitted chan struct{}
	// refusal is set before admitted is closed when the request will not run; nil
	// otherwise.
	refusal error
}

// refuse ends the wait of a request without running it.
func (t *ticket) refuse(reason error) {
	t.state, t.refusal = done, reason
	close(t.admitted)
}
