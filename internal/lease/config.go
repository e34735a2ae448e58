package lease

import (
	"time"

	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	// DefaultTTL is how long the store keeps a lease that is not renewed.
	DefaultTTL = time.Second
	// DefaultRenewInterval leaves two renewals to fail before the lease ends.
	DefaultRenewInterval = 300 * time.Millisecond
)

// Config describes one lease.
type Config struct {
	// Key is the store key that exists while the lease is held.
	Key string
	// Holder names this process; it must differ between processes.
	Holder string
	// TTL is how long the store keeps a lease that is not renewed.
	TTL time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// Eligible reports whether this node should try to take the lease now. It is
	// asked before each try, so a standby that knows of a live holder makes no
	// store call. Nil means always.
	Eligible func() bool
}

// DefaultConfig returns the configuration of a lease with the default times.
func DefaultConfig(key, holder string) Config {
	return Config{Key: key, Holder: holder, TTL: DefaultTTL, RenewInterval: DefaultRenewInterval}
}

// Validate returns an error that names the invalid key and its value.
func (c Config) Validate() error {
	switch {
	case c.Key == "":
		return errors.New("lease: Key is empty")
	case c.Holder == "":
		return errors.New("lease: Holder is empty")
	case c.TTL < time.Millisecond:
		return errors.Errorf("lease: TTL %v is below 1ms", c.TTL)
	case c.RenewInterval <= 0 || c.RenewInterval >= c.TTL:
		return errors.Errorf("lease: RenewInterval %v is not between 0 and the TTL %v", c.RenewInterval, c.TTL)
	}
	return nil
}
