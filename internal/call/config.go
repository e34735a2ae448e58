package call

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Config holds the limits and timeouts of a node.
type Config struct {
	// Calls is the maximum number of concurrent calls of the node, in its
	// outbound and its inbound proxy together.
	Calls int
	// HeaderBytes is the maximum size of a request head and of a response head.
	HeaderBytes int
	// MaxBufferedBodyBytes is the maximum size of a request body that is
	// buffered in memory. A call with a larger body is sent only once. A
	// non-idempotent call with a larger body is refused, because its claim
	// contains the hash of the whole body.
	MaxBufferedBodyBytes int
	// MaxRetainedResponseBytes is the maximum size of a response to a
	// non-idempotent call that is retained for repeats.
	MaxRetainedResponseBytes int
	// IdlePerNode is the maximum number of idle connections to each other node.
	IdlePerNode int
	// IdleTimeout is how long a connection to another node or to the backend
	// server may stay idle. It must be below the idle timeout of the peers, so
	// that they do not close a connection that is about to be used.
	IdleTimeout time.Duration
	// ResponseGrace is how long an outbound proxy waits beyond the deadline for
	// the refusal of an inbound proxy, which states exactly whether the call
	// ran. It covers a round trip between regions.
	ResponseGrace time.Duration
	// ReleaseTimeout is the timeout for releasing the claim of a call that did
	// not run.
	ReleaseTimeout time.Duration
	// ReadHeaderTimeout is the timeout for reading a request head from a
	// caller.
	ReadHeaderTimeout time.Duration
	// ServerIdleTimeout is how long a connection of a caller may stay idle.
	ServerIdleTimeout time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Calls:                    4096,
		HeaderBytes:              64 << 10,
		MaxBufferedBodyBytes:     256 << 10,
		MaxRetainedResponseBytes: 64 << 10,
		IdlePerNode:              64,
		IdleTimeout:              30 * time.Second,
		ResponseGrace:            50 * time.Millisecond,
		ReleaseTimeout:           time.Second,
		ReadHeaderTimeout:        10 * time.Second,
		ServerIdleTimeout:        2 * time.Minute,
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	positive := []struct {
		key   string
		value int64
	}{
		{"Calls", int64(c.Calls)},
		{"HeaderBytes", int64(c.HeaderBytes)},
		{"MaxBufferedBodyBytes", int64(c.MaxBufferedBodyBytes)},
		{"MaxRetainedResponseBytes", int64(c.MaxRetainedResponseBytes)},
		{"IdlePerNode", int64(c.IdlePerNode)},
		{"IdleTimeout", int64(c.IdleTimeout)},
		{"ResponseGrace", int64(c.ResponseGrace)},
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

// exchangeOptions returns the options of an HTTP client that connects with
// dial.
func (c Config) exchangeOptions(deps Deps, dial exchange.DialFunc, maxIdle int) exchange.Options {
	return exchange.Options{Dial: dial, MaxIdle: maxIdle, IdleTimeout: c.IdleTimeout, MaxHeadBytes: c.HeaderBytes, Now: deps.Now}
}
