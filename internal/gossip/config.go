package gossip

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the intervals, timeouts and limits of an Exchanger.
type Config struct {
	// Interval is the time between two exchanges with a neighbour.
	Interval time.Duration
	// SkipWithin is the maximum time since the last message of a neighbour for
	// which the next exchange with it is skipped, if there is nothing to send.
	SkipWithin time.Duration
	// PropagationDelay is how long changes are batched before they are sent.
	PropagationDelay time.Duration
	// TickInterval is the time between two checks of the membership timeouts.
	TickInterval time.Duration
	// ExchangeTimeout is the time allowed for an exchange within the region.
	ExchangeTimeout time.Duration
	// BridgeTimeout is the time allowed for an exchange with another region, until
	// several in a row have failed. It is short, so that frozen bridges are skipped
	// quickly.
	BridgeTimeout time.Duration
	// SlowBridgeTimeout is the time allowed after that. It suffices to send all
	// records of a region over a link that is saturated by other traffic.
	SlowBridgeTimeout time.Duration
	// MaxConnections is the maximum number of open connections to other nodes,
	// unless more are in use.
	MaxConnections int
	// ConnectionIdle is the time after which an unused connection is closed.
	ConnectionIdle time.Duration
	// MaxMessageBytes is the maximum size of a received message.
	MaxMessageBytes int
	// MismatchesBeforeFull is the number of consecutive exchanges with differing
	// table hashes but without changes after which a full exchange sends all
	// records.
	MismatchesBeforeFull int
	// FullInterval is the minimum time between two such full exchanges with one
	// peer.
	FullInterval time.Duration
	// StoreJitter is the time over which the first reads of the seeds from the
	// store are spread.
	StoreJitter time.Duration
	// MaxJoinDelay is the maximum time between two attempts to join.
	MaxJoinDelay time.Duration
	// IsolatedAfter is the time without a message from any node after which the
	// node joins again through its seeds.
	IsolatedAfter time.Duration
	// FirstRejoin is the time from joining to the first attempt to contact a dead
	// node or a seed that is not a known node. It doubles with each attempt up to
	// RejoinInterval. Nodes that start together may join through different seeds
	// and form separate groups, which these attempts connect.
	FirstRejoin time.Duration
	// RejoinInterval is the maximum time between two such attempts.
	RejoinInterval time.Duration
	// SeedInterval is the time between two writes of the seeds to the store.
	SeedInterval time.Duration
	// SeedTTL is how long seeds remain in the store after the last write.
	SeedTTL time.Duration
}

// DefaultConfig returns the intervals and timeouts of docs/design.md and the
// default limits.
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

// Validate returns an error that names the first field out of range and its value.
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
			return errors.Errorf("gossip: %s is %s, must be above 0", d.name, d.value)
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
			return errors.Errorf("gossip: %s is %d, must be at least 1", n.name, n.value)
		}
	}
	return nil
}
