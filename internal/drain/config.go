package drain

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Config configures a Tracker.
type Config struct {
	// Host and FailureDomain identify where the node runs; planned stops refer to
	// them.
	Host          string
	FailureDomain string
	// AnnouncementTimeout is the time after the last announcement at which a server
	// counts as absent. Servers announce themselves every 2 s, so the default of 6 s
	// tolerates two lost announcements.
	AnnouncementTimeout time.Duration
	// CheckInterval is how often the announcement timeout and planned stops are
	// checked.
	CheckInterval time.Duration
}

// DefaultConfig returns the defaults for a host in a failure domain.
func DefaultConfig(host, failureDomain string) Config {
	return Config{
		Host:                host,
		FailureDomain:       failureDomain,
		AnnouncementTimeout: 6 * time.Second,
		CheckInterval:       100 * time.Millisecond,
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.Host == "":
		return result.Errorf(result.SettingsInvalid, "drain: Host must not be empty")
	case c.AnnouncementTimeout <= 0:
		return result.Errorf(result.SettingsInvalid, "drain: AnnouncementTimeout %s must be above 0", c.AnnouncementTimeout)
	case c.CheckInterval <= 0:
		return result.Errorf(result.SettingsInvalid, "drain: CheckInterval %s must be above 0", c.CheckInterval)
	default:
		return nil
	}
}
