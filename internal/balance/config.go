package balance

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the prices and places of a Balancer.
type Config struct {
	// Domain is the node's own failure domain.
	Domain string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// CrossDomainPerMB and CrossRegionPerMB are the price of a megabyte, in units
	// of the worth of one request.
	CrossDomainPerMB float64
	CrossRegionPerMB float64
	// DomainRTT, RegionRTT and RemoteRTT are the round trips that are assumed of a
	// node before it was measured: within the failure domain, within the region
	// and to another region.
	DomainRTT, RegionRTT, RemoteRTT time.Duration
}

// DefaultConfig returns the prices and round trips of today's deployments, with
// no places.
func DefaultConfig() Config {
	return Config{
		CrossDomainPerMB: 8,
		CrossRegionPerMB: 31,
		DomainRTT:        time.Millisecond,
		RegionRTT:        4 * time.Millisecond,
		RemoteRTT:        25 * time.Millisecond,
	}
}

// Validate names the first invalid field and its value.
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
