package registry

import (
	"time"

	"github.com/pkg/errors"
)

// Config names the keys and tunes the loops of a Registry.
type Config struct {
	// ConfigurationKey holds the operators' configuration.
	ConfigurationKey string
	// EntriesPrefix begins the keys of the nodes' entries.
	EntriesPrefix string
	// WatchPrefix begins both.
	WatchPrefix string
	// LeaseTTL is how long the entry of a node outlives it.
	LeaseTTL time.Duration
	// KeepInterval is the time between two renewals of the lease. It is below
	// PeerAfter, so that a node that waits in a watch still hears the store.
	KeepInterval time.Duration
	// FollowerKeepInterval is the same for a node that follows a leader and hears of
	// the store from it. It is below the time for which the fleet keeps an entry that
	// left the store, so that one whose lease was revoked is written again in time.
	FollowerKeepInterval time.Duration
	// WatchWait is how long one watch waits for a change. A watch that began while
	// the store dropped its history hears nothing until it ends, so this is below
	// the time after which the operators expect a calm store to be followed.
	WatchWait time.Duration
	// WatchPause is the time between a change and the next watch, so that changes
	// that come together cost one call.
	WatchPause time.Duration
	// CallTimeout bounds a call to the store; that of a watch begins after its wait.
	CallTimeout time.Duration
	// ReadTimeout bounds the read of the configuration.
	ReadTimeout time.Duration
	// FirstRetry and MaxRetry bound the pause after a failed call.
	FirstRetry, MaxRetry time.Duration
	// PeerAfter is how long the store may be silent before peers are asked.
	PeerAfter time.Duration
	// PeerInterval is the time between two questions to peers.
	PeerInterval time.Duration
	// PeerTimeout bounds one question.
	PeerTimeout time.Duration
}

// DefaultConfig returns the defaults; the keys are empty.
func DefaultConfig() Config {
	return Config{
		LeaseTTL:             6 * time.Second,
		KeepInterval:         time.Second,
		FollowerKeepInterval: 1750 * time.Millisecond,
		WatchWait:            1500 * time.Millisecond,
		WatchPause:           350 * time.Millisecond,
		CallTimeout:          time.Second,
		ReadTimeout:          4 * time.Second,
		FirstRetry:           100 * time.Millisecond,
		MaxRetry:             800 * time.Millisecond,
		PeerAfter:            1500 * time.Millisecond,
		PeerInterval:         500 * time.Millisecond,
		PeerTimeout:          400 * time.Millisecond,
	}
}

// Validate names the first invalid field and its value.
func (c Config) Validate() error {
	if c.ConfigurationKey == "" || c.EntriesPrefix == "" {
		return errors.Errorf("registry: ConfigurationKey %q and EntriesPrefix %q must not be empty", c.ConfigurationKey, c.EntriesPrefix)
	}
	positive := []struct {
		key   string
		value time.Duration
	}{
		{"LeaseTTL", c.LeaseTTL}, {"KeepInterval", c.KeepInterval},
		{"FollowerKeepInterval", c.FollowerKeepInterval}, {"WatchWait", c.WatchWait},
		{"WatchPause", c.WatchPause}, {"CallTimeout", c.CallTimeout}, {"ReadTimeout", c.ReadTimeout}, {"FirstRetry", c.FirstRetry},
		{"MaxRetry", c.MaxRetry}, {"PeerAfter", c.PeerAfter}, {"PeerInterval", c.PeerInterval}, {"PeerTimeout", c.PeerTimeout},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return errors.Errorf("registry: %s %s must be above 0", field.key, field.value)
		}
	}
	if c.KeepInterval >= c.LeaseTTL || c.FollowerKeepInterval >= c.LeaseTTL {
		return errors.Errorf("registry: KeepInterval %s and FollowerKeepInterval %s must be below LeaseTTL %s", c.KeepInterval, c.FollowerKeepInterval, c.LeaseTTL)
	}
	if c.KeepInterval >= c.PeerAfter {
		return errors.Errorf("registry: KeepInterval %s must be below PeerAfter %s", c.KeepInterval, c.PeerAfter)
	}
	return nil
}
