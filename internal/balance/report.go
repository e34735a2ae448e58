package balance

import "time"

// Report is what a gate says of its server with each answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Hold is the average time that a request holds a slot.
	Hold time.Duration
	// Failing is the share of the server's recent answers that failed, 0 to 1.
	Failing float64
	// Spent is the time that the request took at the gate.
	Spent time.Duration
	// Ran is the part of Spent from the hand-over to the head of the answer.
	Ran time.Duration
}
