package route

import (
	"fmt"
	"time"
)

// Config configures a Balancer.
type Config struct {
	// DomainLatency is the one-way latency between failure domains of a region.
	DomainLatency time.Duration
	// RegionLatency is the one-way latency between regions.
	RegionLatency time.Duration
	// MaxServers is the maximum number of servers whose load is tracked.
	// Further servers are chosen as if they were idle.
	MaxServers int
	// Algorithm picks among the servers of a region.
	Algorithm Algorithm
}

// DefaultConfig returns the latencies of the current deployments and the
// default algorithm, which TestCompare compares with the others.
func DefaultConfig() Config {
	return Config{
		DomainLatency: 1400 * time.Microsecond,
		RegionLatency: 12 * time.Millisecond,
		MaxServers:    4096,
		Algorithm:     TwoChoicesByEstimate{},
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.DomainLatency < 0:
		return fmt.Errorf("route: DomainLatency %s must not be negative", c.DomainLatency)
	case c.RegionLatency < 0:
		return fmt.Errorf("route: RegionLatency %s must not be negative", c.RegionLatency)
	case c.MaxServers < 1:
		return fmt.Errorf("route: MaxServers %d must be at least 1", c.MaxServers)
	case c.Algorithm == nil:
		return fmt.Errorf("route: Algorithm must not be nil")
	default:
		return nil
	}
}
