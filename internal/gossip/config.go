package gossip

import (
	"time"

	"github.com/pkg/errors"
)

// Config tunes an Exchanger. DefaultConfig documents the defaults.
type Config struct {
	// Interval is the time between two exchanges with a neighbour.
	Interval time.Duration
	// SkipWithin is the age up to which an exchange that the neighbour started
	// replaces the next one with it, when there is nothing to send.
	SkipWithin time.Duration
	// PropagationDelay is how long changes are collected before they are sent on.
	PropagationDelay time.Duration
	// TickInterval is the time between two checks of the membership timeouts.
	TickInterval time.Duration
	// ExchangeTimeout bounds one exchange within the region.
	ExchangeTimeout time.Duration
	// BridgeTimeout bounds the first exchanges with another region after a failure,
	// so that frozen bridges are passed over quickly.
	BridgeTimeout time.Duration
	// SlowBridgeTimeout bounds the later ones. It lets all records of a region
	// cross a link that other traffic fills.
	SlowBridgeTimeout time.Duration
	// MaxConnections bounds the connections to other nodes that are kept open.
	MaxConnections int
	// ConnectionIdle is how long an unused connection is kept.
	ConnectionIdle time.Duration
	// MaxMessageBytes bounds a received message.
	MaxMessageBytes int
	// MismatchesBeforeFull is the number of exchanges in a row with differing
	// tables but no changes after which all records are exchanged.
	MismatchesBeforeFull int
	// FullInterval is the least time between two such repairs with one peer.
	FullInterval time.Duration
	// StoreJitter spreads the first reads of the seeds in the store.
	StoreJitter time.Duration
	// MaxJoinDelay bounds the time between two attempts to join.
	MaxJoinDelay time.Duration
	// IsolatedAfter is the time without a message from any node after which the
	// node joins anew through its seeds.
	IsolatedAfter time.Duration
	// FirstRejoin is the time from joining to the first attempt to reach a seed or a
	// node that is not known to live. It doubles with each attempt up to
	// RejoinInterval: nodes that start together join through different seeds and
	// form groups that must find each other.
	FirstRejoin time.Duration
	// RejoinInterval is the longest time between two such attempts.
	RejoinInterval time.Duration
	// SeedInterval is the time between two writes of the seeds to the store.
	SeedInterval time.Duration
	// SeedTTL is how long seeds stay in the store without a write.
	SeedTTL time.Duration
}

// DefaultConfig returns the times of docs/design.md and the bounds.
func DefaultConfig() Config {
	return Config{
		Interval:             500 * time.Millisecond,
		SkipWithin:           400 * time.Millisecond,
		PropagationDelay:     20 * time.Millisecond,
		TickInterval:         100 * time.Millisecond,
		ExchangeTimeout:      time.Second,
		BridgeTimeout:        500 * time.Millisecond,
		SlowBridgeTimeout:    4 * time.Second,
		MaxConnections:       32,
		ConnectionIdle:       30 * time.Second,
		MaxMessageBytes:      1 << 20,
		MismatchesBeforeFull: 4,
		FullInterval:         10 * time.Second,
		StoreJitter:          2 * time.Second,
		MaxJoinDelay:         30 * time.Second,
		IsolatedAfter:        5 * time.Second,
		FirstRejoin:          200 * time.Millisecond,
		RejoinInterval:       10 * time.Second,
		SeedInterval:         30 * time.Second,
		SeedTTL:              90 * time.Second,
	}
}

// Validate names the first field that is out of range.
func (c Config) Validate() error {
	durations := []struct {
		name  string
		value time.Duration
	}{
		{"Interval", c.Interval},
		{"PropagationDelay", c.PropagationDelay},
		{"TickInterval", c.TickInterval},
		{"ExchangeTimeout", c.ExchangeTimeout},
		{"BridgeTimeout", c.BridgeTimeout},
		{"SlowBridgeTimeout", c.SlowBridgeTimeout},
		{"ConnectionIdle", c.ConnectionIdle},
		{"FullInterval", c.FullInterval},
		{"StoreJitter", c.StoreJitter},
		{"MaxJoinDelay", c.MaxJoinDelay},
		{"IsolatedAfter", c.IsolatedAfter},
		{"FirstRejoin", c.FirstRejoin},
		{"RejoinInterval minus FirstRejoin", c.RejoinInterval - c.FirstRejoin},
		{"SeedInterval", c.SeedInterval},
		{"SeedTTL minus SeedInterval", c.SeedTTL - c.SeedInterval},
		{"Interval minus SkipWithin", c.Interval - c.SkipWithin},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return errors.Errorf("gossip: %s is %s, want above 0", d.name, d.value)
		}
	}
	counts := []struct {
		name  string
		value int
	}{
		{"MaxConnections", c.MaxConnections},
		{"MaxMessageBytes", c.MaxMessageBytes},
		{"MismatchesBeforeFull", c.MismatchesBeforeFull},
	}
	for _, n := range counts {
		if n.value < 1 {
			return errors.Errorf("gossip: %s is %d, want at least 1", n.name, n.value)
		}
	}
	return nil
}
