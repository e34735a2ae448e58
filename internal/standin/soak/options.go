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

// maxHosts is the maximum number of hosts of a run. A connection between two nodes takes
// two file descriptors in the process that holds the proxies, and each node may connect to
// each other one. Under a limit of 20,000 descriptors runs of 98 hosts used all and runs
// of 80 hosts up to 17,733.
const maxHosts = 80

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
