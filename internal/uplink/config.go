package uplink

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// bitsPerByte and bitsPerMegabit convert the rate of a link.
	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// Config describes a link and how it is shared.
type Config struct {
	// Mbps is the rate of the link in megabits per second; 0 when it is unknown.
	Mbps float64
	// RateShare is the share of the rate that the queue uses, above 0 and at most
	// 1. The rest carries requests, acknowledgements and the platform's calls,
	// which are not counted.
	RateShare float64
	// LargeThreshold is the transmission time from which a response counts as
	// large. A small response waits about as long behind a chunk of a large one.
	LargeThreshold time.Duration
	// ChunkBytes is the number of bytes of a large response that are sent at
	// once.
	ChunkBytes int
}

// DefaultConfig returns the default configuration, with an unknown rate.
func DefaultConfig() Config {
	return Config{RateShare: 0.85, LargeThreshold: 10 * time.Millisecond, ChunkBytes: 8 << 10}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.Mbps < 0:
		return errors.Errorf("uplink: Mbps %v must not be below 0", c.Mbps)
	case c.RateShare <= 0 || c.RateShare > 1:
		return errors.Errorf("uplink: RateShare %v must be above 0 and at most 1", c.RateShare)
	case c.LargeThreshold <= 0:
		return errors.Errorf("uplink: LargeThreshold %s must be above 0", c.LargeThreshold)
	case c.ChunkBytes <= 0:
		return errors.Errorf("uplink: ChunkBytes %d must be above 0", c.ChunkBytes)
	default:
		return nil
	}
}
