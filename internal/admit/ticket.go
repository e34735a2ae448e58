package admit

import "time"

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Ticket is a call that a Queue has started or queued.
type Ticket struct {
	request   Request
	class     class
	state     ticketState
	offeredAt time.Time
	startedAt time.Time
}

// Running reports whether the call is running.
func (t *Ticket) Running() bool { return t.state == ticketRunning }

// Waiting reports whether the call is queued.
func (t *Ticket) Waiting() bool { return t.state == ticketWaiting }
