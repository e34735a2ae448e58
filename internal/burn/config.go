package burn

import (
	"time"

	"github.com/pkg/errors"
)

// Config tunes the counting. DefaultConfig documents the defaults.
type Config struct {
	// MaxTargets bounds the targets that a node counts calls for.
	MaxTargets int
	// MaxRows bounds the rows of a sum, each of one target and region.
	MaxRows int
	// MaxParts bounds the parts that a sum holds.
	MaxParts int
	// MaxBytes bounds an encoded part.
	MaxBytes int
	// Shards is the number of copies of each counter, so that calls on different
	// cores seldom meet.
	Shards int
	// PartExpiry is the age above which a part is left out of a sum.
	PartExpiry time.Duration
}

// DefaultConfig returns bounds for 35 services with several targets each.
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

// Validate names the first field that is out of range.
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
			return errors.Errorf("burn: %s is %d, want above 0", field.name, field.value)
		}
	}
	return nil
}
