package balance

import "time"

// Report is the state of a server as its inbound proxy reports it with each
// response.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// HoldTime is the average time for which a request holds a slot.
	HoldTime time.Duration
	// Limit is the rate at which the server takes requests, in requests a second;
	// 0 without a limit.
	Limit float64
	// FailureRate is the share of the server's recent responses that failed, from
	// 0 to 1.
	FailureRate float64
	// TotalTime is the time that the request spent at the inbound proxy and the
	// server.
	TotalTime time.Duration
	// ServiceTime is the part of TotalTime from forwarding the request to the
	// server until the head of its response; 0 for a refused request.
	ServiceTime time.Duration
}
