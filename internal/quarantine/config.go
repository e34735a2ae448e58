package quarantine

import (
	"time"

	"github.com/pkg/errors"
)

// Config tunes a List. DefaultConfig documents the defaults.
type Config struct {
	// Window is the time within which the crashes must lie.
	Window time.Duration
	// BlockFor is how long requests are refused after the crash that blocked them.
	BlockFor time.Duration
	// Servers is the number of different backend servers that must have stopped.
	Servers int
	// MaxRequests bounds the requests that are remembered.
	MaxRequests int
	// MaxNodes bounds the nodes that are remembered for each request.
	MaxNodes int
	// MaxMessageReports bounds the reports of one message, sent or received.
	MaxMessageReports int
	// MaxClockError is how far ahead of the own clock a report may be.
	MaxClockError time.Duration
}

// DefaultConfig returns the times of docs/design.md and the bounds.
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

// Validate names the first field that is out of range.
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
			return errors.Errorf("quarantine: %s is %s, want above 0", d.name, d.value)
		}
	}
	counts := []struct {
		name  string
		value int
	}{
		{"Servers", c.Servers},
		{"MaxRequests", c.MaxRequests},
		{"MaxNodes", c.MaxNodes - c.Servers + 1},
		{"MaxMessageReports", c.MaxMessageReports},
	}
	for _, n := range counts {
		if n.value < 1 {
			return errors.Errorf("quarantine: %s is too small", n.name)
		}
	}
	return nil
}
