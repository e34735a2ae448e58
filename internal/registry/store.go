package registry

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Store is the key-value store of the platform. All methods are safe for concurrent
// use, and each call counts against the rate limits of the store.
type Store interface {
	// List returns all items under a prefix, and a revision from which a watch misses
	// no change.
	List(ctx context.Context, prefix string) ([]store.Item, store.Revision, error)
	// Watch returns the changes under a prefix after a revision, as soon as there are
	// any, and the revision to continue from. It returns no changes when the wait
	// elapses first.
	Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error)
	// IsAt reports whether a key is at a revision above 0. The response is small, whatever
	// the size of the value.
	IsAt(ctx context.Context, key string, revision store.Revision) (bool, error)
	// Read returns the value of a key; one with revision 0 when the key does not exist.
	Read(ctx context.Context, key string) (store.Value, error)
	// Put writes a key that is bound to a lease; lease 0 binds it to none.
	Put(ctx context.Context, key string, value []byte, lease store.LeaseID) error
	Delete(ctx context.Context, key string) error
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	// KeepAlive renews a lease for its full time to live.
	KeepAlive(ctx context.Context, lease store.LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease store.LeaseID) error
}
