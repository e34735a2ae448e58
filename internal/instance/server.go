package instance

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// Server is the state of the backend server at one moment.
type Server struct {
	// ID is the identity of the run; empty while it is unknown.
	ID    string
	State fleet.State
	Slots int
	// StartTime and Sequence order announcements.
	StartTime int64
	Sequence  int64
}
