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
	// Departed holds the latest departures that the next process of the node must know
	// besides Leaving, oldest first. Its elements must not be modified.
	Departed []fleet.Departure
}

// IsSame reports whether two states differ only in what orders announcements and in the
// departures.
func (s Server) IsSame(other Server) bool {
	return s.Service == other.Service && s.ID == other.ID && s.State == other.State && s.Slots == other.Slots
}
