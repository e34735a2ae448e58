package soak

import (
	"time"

	"github.com/pkg/errors"
)

// Options describe one run.
type Options struct {
	// Program is the sidecar.
	Program string
	// Directory holds settings and logs.
	Directory string
	Seed      uint64
	Hosts     int
	// Callers send one request after the other.
	Callers int
	// FaultPeriod is how long faults begin; each may last a little longer.
	FaultPeriod time.Duration
}

// maxHosts bounds the hosts of a run: the proxies of 200 hosts needed more than the
// 20,000 descriptors that a process may open, those of 100 did not.
const maxHosts = 100

// Validate names the first invalid field and its value.
func (o Options) Validate() error {
	switch {
	case o.Program == "" || o.Directory == "":
		return errors.Errorf("soak: Program %q and Folder %q must not be empty", o.Program, o.Directory)
	case o.Hosts < 2 || o.Hosts > maxHosts:
		return errors.Errorf("soak: %d hosts, want 2 to %d", o.Hosts, maxHosts)
	case o.Callers < 1:
		return errors.Errorf("soak: %d callers, want 1 or more", o.Callers)
	case o.FaultPeriod <= 0:
		return errors.Errorf("soak: Faulty %s must be above 0", o.FaultPeriod)
	default:
		return nil
	}
}
