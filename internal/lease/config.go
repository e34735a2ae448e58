package lease

import (
	"time"

	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	// DefaultTTL is how long the store keeps a lease that is not renewed.
	DefaultTTL = time.Second
	// DefaultRenewInterval allows two renewals to fail before the lease expires.
	DefaultRenewInterval = 300 * time.Millisecond
)

// Config configures a Keeper.
type Config struct {
	// Key is the store key that exists while the lease is held.
	Key string
	// Holder identifies this process; it must be unique among processes.
	Holder string
	// TTL is how long the store keeps a lease that is not renewed.
	TTL time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// Eligible reports whether this node should try to acquire the lease now. It is
	// called before each attempt, so that a standby that knows of a live holder
	// makes no store call. Nil means always.
	Eligible func() bool
}

// DefaultConfig returns the configuration of a lease with the default times.
func DefaultConfig(key, holder string) Config {
	return Config{Key: key, Holder: holder, TTL: DefaultTTL, RenewInterval: DefaultRenewInterval}
}

// Validate returns an error that names the invalid field and its value.
func (c Config) Validate() error {
	switch {
	case c.Key == "":
		return errors.New("lease: Key must not be empty")
	case c.Holder == "":
		return errors.New("lease: Holder must not be empty")
	case c.TTL < time.Millisecond:
		return errors.Errorf("lease: TTL %v must be at least 1ms", c.TTL)
	case c.RenewInterval <= 0 || c.RenewInterval >= c.TTL:
		return errors.Errorf("lease: RenewInterval %v must be above 0 and below the TTL %v", c.RenewInterval, c.TTL)
	}
	return nil
}
