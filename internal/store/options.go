package store

import (
	"time"

	"github.com/pkg/errors"
)

// Options configure a keyed client.
type Options struct {
	// Timeout limits the duration of one call, except for the wait of a watch.
	Timeout time.Duration
}

// Validate returns an error that names the invalid option and its value.
func (o Options) Validate() error {
	if o.Timeout <= 0 {
		return errors.Errorf("store: Timeout %v must be above 0", o.Timeout)
	}
	return nil
}
