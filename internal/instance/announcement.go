package instance

import (
	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// Announcement is the state that a server announces.
type Announcement struct {
	// Server identifies the current run of the server.
	Server string
	// Service is the service that the server offers.
	Service string
	// StartTime is when the run started, by the server's clock; 0 when it is not
	// stated. Later runs have larger values.
	StartTime int64
	// Sequence grows with each announcement of the run.
	Sequence int64
	// Draining is set when the server is about to shut down.
	Draining bool
	// Slots is the number of requests that it runs at once.
	Slots int
}

// Validate returns an error that names the first invalid field.
func (a Announcement) Validate() error {
	switch {
	case a.Server == "":
		return errors.New("announcement has no server identity")
	case a.Service == "":
		return errors.Errorf("announcement of %s has no service", a.Server)
	case a.Slots < 1 || a.Slots > fleet.MaxSlots:
		return errors.Errorf("announcement of %s: %d slots, want 1 to %d", a.Server, a.Slots, fleet.MaxSlots)
	case a.Sequence < 0:
		return errors.Errorf("announcement of %s: sequence %d, want 0 or more", a.Server, a.Sequence)
	case a.StartTime < 0 || a.StartTime > fleet.MaxNumber:
		return errors.Errorf("announcement of %s: start time %d, want 0 to %d", a.Server, a.StartTime, int64(fleet.MaxNumber))
	default:
		return nil
	}
}
