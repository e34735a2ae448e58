package quarantine

import (
	"time"

	"github.com/pkg/errors"
)

// Config configures a List.
type Config struct {
	// Window is the period within which the crashes must occur.
	Window time.Duration
	// BlockFor is how long requests are refused after the last crash of the group that
	// caused the block.
	BlockFor time.Duration
	// Servers is the number of different backend servers that must have crashed.
	Servers int
	// MaxRequests is the maximum number of requests with reports.
	MaxRequests int
	// MaxNodes is the maximum number of nodes with a report for each request.
	MaxNodes int
	// MaxMessageReports is the maximum number of reports in one message, sent or
	// received.
	MaxMessageReports int
	// MaxClockError is how far a report may be ahead of the local clock.
	MaxClockError time.Duration
}

// DefaultConfig returns the times of docs/design.md and the default limits.
func DefaultConfig() Config {
	return Config{
		Window:            10 * time.Minute,
		BlockFor:          10 * time.Minute,
		Servers:           2,
		MaxRequests:       1024,
		MaxNodes:          8,
		MaxMessageReports: 256,
		MaxClockError:     10 * time.Second,
	}
}

// Validate returns an error that names the first field that is out of range.
func (c Config) Validate() error {
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"Window", c.Window},
		{"BlockFor", c.BlockFor},
		{"MaxClockError", c.MaxClockError},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return errors.Errorf("quarantine: %s %s must be above 0", d.name, d.value)
		}
	}
	counts := []struct {
		name       string
		value, min int
	}{
		{"Servers", c.Servers, 1},
		{"MaxRequests", c.MaxRequests, 1},
		{"MaxNodes", c.MaxNodes, c.Servers},
		{"MaxMessageReports", c.MaxMessageReports, 1},
	}
	for _, n := range counts {
		if n.value < n.min {
			return errors.Errorf("quarantine: %s %d must be at least %d", n.name, n.value, n.min)
		}
	}
	return nil
}
