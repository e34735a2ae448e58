package balance

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the transfer costs, the topology and the assumed round-trip times
// of a Balancer.
type Config struct {
	// Domain is the failure domain of this node.
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// CrossDomainPerMB and CrossRegionPerMB are the costs of transferring a
	// megabyte, in units of the value of one request.
	CrossDomainPerMB float64
	CrossRegionPerMB float64
	// DomainRTT, RegionRTT and RemoteRTT are the round-trip times assumed for a
	// node before the first measurement: within the failure domain, within the
	// region and to another region.
	DomainRTT, RegionRTT, RemoteRTT time.Duration
}

// DefaultConfig returns the transfer costs and round-trip times of current
// deployments. Domain and Regions are empty.
func DefaultConfig() Config {
	return Config{
		CrossDomainPerMB: 8,
		CrossRegionPerMB: 31,
		DomainRTT:        time.Millisecond,
		RegionRTT:        4 * time.Millisecond,
		RemoteRTT:        25 * time.Millisecond,
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.Domain == "":
		return errors.New("balance: Domain is empty")
	case c.Regions[c.Domain] == "":
		return errors.Errorf("balance: Regions has no entry for %q", c.Domain)
	case c.CrossDomainPerMB < 0:
		return errors.Errorf("balance: CrossDomainPerMB %v is below 0", c.CrossDomainPerMB)
	case c.CrossRegionPerMB < 0:
		return errors.Errorf("balance: CrossRegionPerMB %v is below 0", c.CrossRegionPerMB)
	default:
		return nil
	}
}
