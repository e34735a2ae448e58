package instance

import (
	"github.com/pkg/errors"
)

// Announcement is what a server says of itself.
type Announcement struct {
	// Server is the identity of the server's run.
	Server string
	// Service is the service that it offers.
	Service string
	// StartTime is when the run began, by the server's clock; 0 when it is not stated.
	StartTime int64
	// Sequence grows with each announcement of the run.
	Sequence int64
	// Draining is set when the server is about to leave.
	Draining bool
	// Slots is the number of requests that it runs at once.
	Slots int
}

// Validate names the first field that is wrong.
func (a Announcement) Validate() error {
	switch {
	case a.Server == "":
		return errors.New("announcement without an identity")
	case a.Service == "":
		return errors.Errorf("announcement of %s names no service", a.Server)
	case a.Slots < 1:
		return errors.Errorf("announcement of %s: %d slots, want 1 or more", a.Server, a.Slots)
	case a.Sequence < 0:
		return errors.Errorf("announcement of %s: sequence %d is below 0", a.Server, a.Sequence)
	default:
		return nil
	}
}
