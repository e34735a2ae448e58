package call

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Config bounds what one node carries.
type Config struct {
	// Calls is the number of calls that the node carries at once, counted at the
	// front and at the gate.
	Calls int
	// HeaderBytes bounds the head of a request and of an answer.
	HeaderBytes int
	// KeptBodyBytes bounds the part of a request body that is kept in memory. A
	// call with a larger body is sent once; a non-idempotent one is refused,
	// because its claim names the hash of the whole body.
	KeptBodyBytes int
	// KeptAnswerBytes bounds an answer of a non-idempotent call that is kept for
	// repeats.
	KeptAnswerBytes int
	// IdlePerNode is the number of idle connections kept to each other node.
	IdlePerNode int
	// IdleTimeout is how long a connection stays idle. It must be below the idle
	// timeout of the peers, so that they don't close a connection in use.
	IdleTimeout time.Duration
	// AnswerGrace is how long a front waits beyond the deadline for the refusal of
	// a gate, which states exactly whether the call ran. It covers a round trip
	// between regions.
	AnswerGrace time.Duration
	// ReleaseTimeout bounds the withdrawal of a claim whose call did not run.
	ReleaseTimeout time.Duration
	// ReadHeaderTimeout bounds how long a caller may take to send a request head.
	ReadHeaderTimeout time.Duration
	// ServerIdleTimeout is how long a connection of a caller may stay idle.
	ServerIdleTimeout time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Calls:             4096,
		HeaderBytes:       64 << 10,
		KeptBodyBytes:     256 << 10,
		KeptAnswerBytes:   64 << 10,
		IdlePerNode:       64,
		IdleTimeout:       30 * time.Second,
		AnswerGrace:       50 * time.Millisecond,
		ReleaseTimeout:    time.Second,
		ReadHeaderTimeout: 10 * time.Second,
		ServerIdleTimeout: 2 * time.Minute,
	}
}

// Validate returns an error that names the first invalid key and its value.
func (c Config) Validate() error {
	positive := []struct {
		key   string
		value int64
	}{
		{"Calls", int64(c.Calls)},
		{"HeaderBytes", int64(c.HeaderBytes)},
		{"KeptBodyBytes", int64(c.KeptBodyBytes)},
		{"KeptAnswerBytes", int64(c.KeptAnswerBytes)},
		{"IdlePerNode", int64(c.IdlePerNode)},
		{"IdleTimeout", int64(c.IdleTimeout)},
		{"AnswerGrace", int64(c.AnswerGrace)},
		{"ReleaseTimeout", int64(c.ReleaseTimeout)},
		{"ReadHeaderTimeout", int64(c.ReadHeaderTimeout)},
		{"ServerIdleTimeout", int64(c.ServerIdleTimeout)},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return result.Errorf(result.SettingsInvalid, "call: %s %d must be above 0", field.key, field.value)
		}
	}
	if c.IdleTimeout >= c.ServerIdleTimeout {
		return result.Errorf(result.SettingsInvalid, "call: IdleTimeout %s must be below ServerIdleTimeout %s", c.IdleTimeout, c.ServerIdleTimeout)
	}
	return nil
}

// exchangeOptions returns the options of a client that dials with the function.
func (c Config) exchangeOptions(deps Deps, dial exchange.DialFunc, maxIdle int) exchange.Options {
	return exchange.Options{Dial: dial, MaxIdle: maxIdle, IdleTimeout: c.IdleTimeout, MaxHeadBytes: c.HeaderBytes, Now: deps.Now}
}
