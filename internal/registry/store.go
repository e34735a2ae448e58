package registry

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision is the store's count of changes.
type Revision uint64

// Lease names a lease; 0 is none.
type Lease uint64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
}

// Event is a change of a key.
type Event struct {
	Key string
	// Value is the new value; nil when the key was removed.
	Value   []byte
	Removed bool
}

// Errors of a store that say what to do next.
var (
	// ErrCompacted says that the changes after a revision are no longer kept, so
	// that the keys must be listed again.
	ErrCompacted = errors.New("the store no longer keeps these changes")
	// ErrLeaseEnded says that a lease does not exist any more.
	ErrLeaseEnded = errors.New("the lease has ended")
)

// Store is the platform's key-value store. All methods are safe for concurrent
// use, and each call counts against the store's limits.
type Store interface {
	// List returns all items under a prefix and a revision from which a watch
	// misses nothing.
	List(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under a prefix after a revision as soon as there is
	// one, or none after the wait, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Put writes a key, bound to a lease.
	Put(ctx context.Context, key string, value []byte, lease Lease) error
	// Delete removes a key.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease for its full time.
	Keep(ctx context.Context, lease Lease) error
}
