package drain

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Status describes the local backend server to operators.
type Status struct {
	Server  member.Server `json:"server"`
	Address string        `json:"address"`
	// InFlight is the number of calls that the server is running.
	InFlight int64 `json:"in_flight"`
	// Stops lists the started planned stops that cover the server.
	Stops []StopStatus `json:"stops"`
}

// StopStatus describes a planned stop that has started.
type StopStatus struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
	// Overdue is set when calls are still running after the grace period.
	Overdue bool `json:"overdue"`
}
