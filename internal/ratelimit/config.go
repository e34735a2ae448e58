package ratelimit

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the bound that the operators agreed on and the intervals of the exchange.
type Config struct {
	// Window is the span in which the requests of a workspace are counted, and Overage the
	// share by which their number may exceed the limit.
	Window  time.Duration
	Overage float64
	// Interval is the time between two reports of a node.
	Interval time.Duration
	// StaleAfter is the age above which a verdict does not count, and the time for which a
	// source counts as heard.
	StaleAfter time.Duration
	// WarmUp is how long an allocator collects reports before its first verdict: an interval
	// for each of the two levels on which they come.
	WarmUp time.Duration
}

// DefaultConfig returns the defaults for the bound of current deployments.
func DefaultConfig() Config {
	return Config{Window: 5 * time.Second, Overage: 0.1, Interval: 150 * time.Millisecond, StaleAfter: time.Second, WarmUp: 300 * time.Millisecond}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	for _, field := range []struct {
		key   string
		value time.Duration
	}{{"Window", c.Window}, {"Interval", c.Interval}, {"StaleAfter", c.StaleAfter}, {"WarmUp", c.WarmUp}} {
		if field.value <= 0 {
			return errors.Errorf("ratelimit: %s %s must be above 0", field.key, field.value)
		}
	}
	if !(c.Overage >= 0) {
		return errors.Errorf("ratelimit: Overage %v must not be below 0", c.Overage)
	}
	return nil
}
