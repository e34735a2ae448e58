package drain

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Config tunes a Tracker.
type Config struct {
	// Host and FailureDomain say where the node runs; planned stops name them.
	Host          string
	FailureDomain string
	// Silence is how long a server may go without an announcement. Servers
	// announce themselves every 2 s, so the default of 6 s allows two losses.
	Silence time.Duration
	// Interval is how often silence and planned stops are checked.
	Interval time.Duration
}

// DefaultConfig returns the defaults for a host in a failure domain.
func DefaultConfig(host, failureDomain string) Config {
	return Config{
		Host:          host,
		FailureDomain: failureDomain,
		Silence:       6 * time.Second,
		Interval:      100 * time.Millisecond,
	}
}

// Validate returns an error that names the first invalid key and its value.
func (c Config) Validate() error {
	switch {
	case c.Host == "":
		return result.Errorf(result.SettingsInvalid, "drain: Host must not be empty")
	case c.Silence <= 0:
		return result.Errorf(result.SettingsInvalid, "drain: Silence %s must be above 0", c.Silence)
	case c.Interval <= 0:
		return result.Errorf(result.SettingsInvalid, "drain: Interval %s must be above 0", c.Interval)
	default:
		return nil
	}
}
