package admit

import "time"

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketDone
)

// Ticket is a call that a Queue has accepted.
type Ticket struct {
	request   Request
	class     class
	state     ticketState
	offeredAt time.Time
	startedAt time.Time
}

// Running reports whether the call holds a slot.
func (t *Ticket) Running() bool { return t.state == ticketRunning }

// Waiting reports whether the call waits for a slot.
func (t *Ticket) Waiting() bool { return t.state == ticketWaiting }
