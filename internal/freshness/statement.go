package freshness

import "time"

// Statement is a confirmation as a node states it to another one.
type Statement struct {
	// Version is the newest version at the time of the confirmation.
	Version uint64
	// Age is the time from the confirmation to the statement.
	Age time.Duration
	// Held is the time from the arrival of the question to the statement.
	Held time.Duration
}
