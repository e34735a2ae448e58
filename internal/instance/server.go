package instance

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// Server is the state of the backend server at one moment.
type Server struct {
	// ID is the identity of the run; empty while it is unknown.
	ID    string
	State fleet.State
	Slots int
	// Born and Sequence order announcements.
	Born     int64
	Sequence int64
}
