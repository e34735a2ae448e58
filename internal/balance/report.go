package balance

import "time"

// Report is what a gate says of its server with each answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// HoldTime is the average time that a request holds a slot.
	HoldTime time.Duration
	// FailureRate is the share of the server's recent answers that failed, 0 to 1.
	FailureRate float64
	// TotalTime is the time that the request took at the gate.
	TotalTime time.Duration
	// ServiceTime is the part of Spent from the hand-over to the head of the answer.
	ServiceTime time.Duration
}
