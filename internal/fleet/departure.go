package fleet

import "github.com/pkg/errors"

// MaxDepartures bounds the departures in an entry.
const MaxDepartures = 4

// Departure names a run of a node's backend server that has left, whether or not it had
// announced itself before.
type Departure struct {
	// Server is the identity of the run.
	Server string `json:"i"`
	// StartedBy is the start time of the run in Unix milliseconds, or an upper bound of it
	// when it is unknown. A run that started later under the same identity has not left.
	StartedBy int64 `json:"b"`
}

// Validate returns an error that names the first invalid field.
func (d Departure) Validate() error {
	switch {
	case d.Server == "":
		return errors.New("departure has no server identity")
	case d.StartedBy < 0 || d.StartedBy > MaxNumber:
		return errors.Errorf("departure of %s: started by %d, want 0 to %d", d.Server, d.StartedBy, int64(MaxNumber))
	default:
		return nil
	}
}
