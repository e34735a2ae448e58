package soak

import (
	"time"

	"github.com/pkg/errors"
)

// Options configure one run.
type Options struct {
	// Program is the path of the sidecar binary.
	Program string
	// Directory receives settings files and logs.
	Directory string
	Seed      uint64
	Hosts     int
	// Callers is the number of concurrent callers. Each sends one request at a time.
	Callers int
	// FaultPeriod is the time in which faults start. The last ones may end after it.
	FaultPeriod time.Duration
}

// maxHosts is the maximum number of hosts of a run. The proxies of 200 hosts exceed
// the limit of 20,000 file descriptors per process, those of 100 do not.
const maxHosts = 100

// Validate returns an error that names the first invalid field and its value.
func (o Options) Validate() error {
	switch {
	case o.Program == "" || o.Directory == "":
		return errors.Errorf("soak: Program %q and Directory %q must not be empty", o.Program, o.Directory)
	case o.Hosts < 2 || o.Hosts > maxHosts:
		return errors.Errorf("soak: Hosts %d must be from 2 to %d", o.Hosts, maxHosts)
	case o.Callers < 1:
		return errors.Errorf("soak: Callers %d must be at least 1", o.Callers)
	case o.FaultPeriod <= 0:
		return errors.Errorf("soak: FaultPeriod %s must be positive", o.FaultPeriod)
	default:
		return nil
	}
}
