package uplink

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// bitsPerByte and megabit convert the rate of a link.
	bitsPerByte = 8
	megabit     = 1e6
)

// Config describes a link.
type Config struct {
	// Mbps is the rate of the link in megabits a second; 0 when it is not known.
	Mbps float64
	// RateShare is the part of the rate that the queue uses. The rest carries requests,
	// acknowledgements and the platform's calls, which are not counted.
	RateShare float64
	// LargeThreshold is the time on the link from which an answer counts as large. A
	// small answer waits about as long behind a chunk of a large one.
	LargeThreshold time.Duration
	// ChunkBytes is how much of a large answer is sent at once.
	ChunkBytes int
}

// DefaultConfig returns the defaults; the rate is not known.
func DefaultConfig() Config {
	return Config{RateShare: 0.85, LargeThreshold: 10 * time.Millisecond, ChunkBytes: 8 << 10}
}

// Validate names the first invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.Mbps < 0:
		return errors.Errorf("uplink: Mbps %v must not be below 0", c.Mbps)
	case c.RateShare <= 0 || c.RateShare > 1:
		return errors.Errorf("uplink: Share %v must be above 0 and at most 1", c.RateShare)
	case c.LargeThreshold <= 0:
		return errors.Errorf("uplink: Shortest %s must be above 0", c.LargeThreshold)
	case c.ChunkBytes <= 0:
		return errors.Errorf("uplink: ChunkBytes %d must be above 0", c.ChunkBytes)
	default:
		return nil
	}
}
