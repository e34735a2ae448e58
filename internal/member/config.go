package member

import (
	"time"

	"github.com/pkg/errors"
)

// Config tunes a Table. DefaultConfig documents the defaults.
type Config struct {
	// Neighbours is the number of nodes of its own region that a node exchanges
	// records with.
	Neighbours int
	// SuspectAfter is the silence after which a watched node is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspected node has to refute.
	DeadAfter time.Duration
	// ForgetAfter is how long records of nodes that left or died are kept.
	ForgetAfter time.Duration
	// RegionUnreachableAfter is the time without contact after which a region
	// counts as unreachable.
	RegionUnreachableAfter time.Duration
	// MaxTickGap is the longest gap between two calls of Tick that is not taken
	// for a pause of the own process.
	MaxTickGap time.Duration
	// OutbidInterval bounds how often the own incarnation is raised over that of
	// another process with the same id.
	OutbidInterval time.Duration
	// MaxRecords bounds the table.
	MaxRecords int
	// MaxMessageRecords bounds the records of one message, sent or received.
	MaxMessageRecords int
}

// DefaultConfig returns the times and bounds of docs/design.md.
func DefaultConfig() Config {
	return Config{
		Neighbours:             3,
		SuspectAfter:           1500 * time.Millisecond,
		DeadAfter:              2 * time.Second,
		ForgetAfter:            10 * time.Minute,
		RegionUnreachableAfter: 5 * time.Second,
		MaxTickGap:             500 * time.Millisecond,
		OutbidInterval:         5 * time.Second,
		MaxRecords:             4096,
		MaxMessageRecords:      1024,
	}
}

// Validate names the first field that is out of range.
func (c Config) Validate() error {
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"SuspectAfter", c.SuspectAfter},
		{"DeadAfter", c.DeadAfter},
		{"ForgetAfter", c.ForgetAfter},
		{"RegionUnreachableAfter", c.RegionUnreachableAfter},
		{"MaxTickGap", c.MaxTickGap},
		{"OutbidInterval", c.OutbidInterval},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return errors.Errorf("member: %s is %s, want above 0", d.name, d.value)
		}
	}
	counts := []struct {
		name  string
		value int
	}{
		{"Neighbours", c.Neighbours},
		{"MaxRecords", c.MaxRecords},
		{"MaxMessageRecords", c.MaxMessageRecords},
	}
	for _, n := range counts {
		if n.value < 1 {
			return errors.Errorf("member: %s is %d, want at least 1", n.name, n.value)
		}
	}
	return nil
}
