package registry

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Store is the platform's key-value store. All methods are safe for concurrent
// use, and each call counts against the store's limits.
type Store interface {
	// List returns all items under a prefix and a revision from which a watch
	// misses nothing.
	List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error)
	// Watch returns the changes under a prefix after a revision as soon as there is
	// one, or none after the wait, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
	// Put writes a key, bound to a lease.
	Put(ctx context.Context, key string, value []byte, lease store.LeaseID) error
	// Delete removes a key.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	// Keep renews a lease for its full time.
	Keep(ctx context.Context, lease store.LeaseID) error
}
