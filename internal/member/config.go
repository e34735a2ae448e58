package member

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the timeouts and limits of a Table.
type Config struct {
	// Neighbours is the number of nodes of its region that a node exchanges records
	// with.
	Neighbours int
	// SuspectAfter is the time without a message from a monitored node after which
	// the node is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time that a suspected node has to refute the suspicion
	// before it is declared dead.
	DeadAfter time.Duration
	// ForgetAfter is how long the records of left and dead nodes are retained.
	ForgetAfter time.Duration
	// RegionUnreachableAfter is the time without contact after which a region is
	// considered unreachable.
	RegionUnreachableAfter time.Duration
	// MaxTickGap is the longest time between two calls of Tick that is not treated
	// as a pause of the process.
	MaxTickGap time.Duration
	// OutbidInterval is the minimum time between two increases of the local
	// incarnation above that of another process with the same ID.
	OutbidInterval time.Duration
	// MaxRecords is the maximum number of records in the table.
	MaxRecords int
	// MaxMessageRecords is the maximum number of records in a message, sent or
	// received.
	MaxMessageRecords int
}

// DefaultConfig returns the timeouts and limits of docs/design.md.
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

// Validate returns an error that names the first field out of range and its value.
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
			return errors.Errorf("member: %s %s must be above 0", d.name, d.value)
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
			return errors.Errorf("member: %s %d must be at least 1", n.name, n.value)
		}
	}
	return nil
}
