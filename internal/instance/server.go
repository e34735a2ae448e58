package instance

import "rosemaryladder.dev/rosemaryladder/internal/fleet"

// Server is the state of the backend server at one point in time.
type Server struct {
	// Service is the service of the node's server. A change of it ends the identity.
	Service string
	// ID identifies the run; empty while it is unknown.
	ID    string
	State fleet.State
	Slots int
	// Leaving is set once the run has announced that it shuts down. It stays set while the
	// server is absent.
	Leaving bool
	// StartTime and Sequence order announcements.
	StartTime int64
	Sequence  int64
}
