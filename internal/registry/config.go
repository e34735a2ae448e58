package registry

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds the store keys and the intervals and timeouts of a Registry.
type Config struct {
	// ConfigurationKey is the key of the operators' configuration.
	ConfigurationKey string
	// EntriesPrefix is the prefix of the keys of the node entries.
	EntriesPrefix string
	// WatchPrefix is the prefix of all watched keys; it covers both of the above.
	WatchPrefix string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// LeaseTTL is how long the entry of a node stays in the store after the node
	// dies.
	LeaseTTL time.Duration
	// KeepInterval is the time between two renewals of the lease. It must be below
	// PeerAfter, so that a node that is blocked in a watch still gets responses from
	// the store.
	KeepInterval time.Duration
	// FollowerKeepInterval is the renewal interval of a node that follows a leader
	// and learns from it whether the store responds. It is below the time for which
	// the fleet keeps an entry that left the store, so that a node whose lease was
	// revoked writes its entry again in time.
	FollowerKeepInterval time.Duration
	// WatchWait is how long one watch waits for a change. A watch that started while
	// the store compacted its history receives nothing until it ends, so WatchWait is
	// below the time within which the operators expect a node to be up to date once
	// the store is stable again.
	WatchWait time.Duration
	// WatchPause is the time between a change and the next watch, so that a burst of
	// changes costs one call.
	WatchPause time.Duration
	// CallTimeout is the time allowed for a call to the store; for a watch it is
	// added to WatchWait.
	CallTimeout time.Duration
	// ReadTimeout bounds the read of the configuration.
	ReadTimeout time.Duration
	// FirstRetry and MaxRetry are the smallest and largest backoff after a failed
	// call. Jitter shortens it by up to half.
	FirstRetry, MaxRetry time.Duration
	// OutageRetry is the time between two calls of a follower to a store that responds
	// neither to it nor to its leader. The leader tells when the store is back; a
	// follower whose leader stays disconnected notices within this time.
	OutageRetry time.Duration
	// StartPause is how long a node that starts with an empty fleet waits for the
	// entries of the others, so that most nodes follow a leader from the start. Servers
	// announce themselves every one to two seconds.
	StartPause time.Duration
	// PeerAfter is how long the store may be unresponsive before peers are queried.
	PeerAfter time.Duration
	// PeerInterval is the time between two queries to peers.
	PeerInterval time.Duration
	// PeerTimeout is the time allowed for one exchange with a peer; a query makes up
	// to two.
	PeerTimeout time.Duration
	// NewsLimit is how long a follower goes without news from its leaders before it asks
	// the store itself: half of the time in which a change must be in force.
	NewsLimit time.Duration
	// ConfirmInterval is the time after which a reader has its configuration confirmed by
	// the store again, and ConfirmAfter the age at which a follower asks itself. Both
	// apply with Deps.Freshness only.
	ConfirmInterval, ConfirmAfter time.Duration
}

// DefaultConfig returns the default configuration without the keys, which the caller
// must set.
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
		OutageRetry:          2 * time.Second,
		StartPause:           1200 * time.Millisecond,
		PeerAfter:            1500 * time.Millisecond,
		PeerInterval:         500 * time.Millisecond,
		PeerTimeout:          400 * time.Millisecond,
		NewsLimit:            1500 * time.Millisecond,
		ConfirmInterval:      600 * time.Millisecond,
		ConfirmAfter:         2 * time.Second,
	}
}

// Validate returns an error that names the first invalid field and its value.
func (c Config) Validate() error {
	if c.ConfigurationKey == "" || c.EntriesPrefix == "" {
		return errors.Errorf("registry: ConfigurationKey %q and EntriesPrefix %q must not be empty", c.ConfigurationKey, c.EntriesPrefix)
	}
	durations := []struct {
		key   string
		value time.Duration
	}{
		{"LeaseTTL", c.LeaseTTL}, {"KeepInterval", c.KeepInterval},
		{"FollowerKeepInterval", c.FollowerKeepInterval}, {"WatchWait", c.WatchWait},
		{"WatchPause", c.WatchPause}, {"CallTimeout", c.CallTimeout}, {"ReadTimeout", c.ReadTimeout}, {"FirstRetry", c.FirstRetry},
		{"MaxRetry", c.MaxRetry}, {"OutageRetry", c.OutageRetry}, {"StartPause", c.StartPause}, {"PeerAfter", c.PeerAfter}, {"PeerInterval", c.PeerInterval}, {"PeerTimeout", c.PeerTimeout},
		{"NewsLimit", c.NewsLimit}, {"ConfirmInterval", c.ConfirmInterval}, {"ConfirmAfter", c.ConfirmAfter},
	}
	for _, field := range durations {
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
