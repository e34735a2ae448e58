package burn

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the limits of the recorder and the aggregator.
type Config struct {
	// MaxTargets is the maximum number of targets that a node counts calls for.
	MaxTargets int
	// MaxRows is the maximum number of rows of an aggregator, each of one target
	// and region.
	MaxRows int
	// MaxParts is the maximum number of parts, one per child, that an aggregator
	// holds.
	MaxParts int
	// MaxBytes is the maximum size of an encoded report in bytes.
	MaxBytes int
	// Shards is the number of copies of each counter, which reduces contention
	// between cores.
	Shards int
	// PartExpiry is the age above which a part is left out of the totals.
	PartExpiry time.Duration
}

// DefaultConfig returns limits for 35 services with several targets each.
func DefaultConfig() Config {
	return Config{
		MaxTargets: 256,
		MaxRows:    1024,
		MaxParts:   128,
		MaxBytes:   512 << 10,
		Shards:     4,
		PartExpiry: 30 * time.Second,
	}
}

// Validate returns an error that names the first field below 1.
func (c Config) Validate() error {
	fields := []struct {
		name  string
		value int64
	}{
		{"MaxTargets", int64(c.MaxTargets)},
		{"MaxRows", int64(c.MaxRows)},
		{"MaxParts", int64(c.MaxParts)},
		{"MaxBytes", int64(c.MaxBytes)},
		{"Shards", int64(c.Shards)},
		{"PartExpiry", int64(c.PartExpiry)},
	}
	for _, field := range fields {
		if field.value < 1 {
			return errors.Errorf("burn: %s %d must be at least 1", field.name, field.value)
		}
	}
	return nil
}
