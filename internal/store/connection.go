package store

import (
	"context"
	"time"
)

// Connection makes single calls to a store. Each method is one call, which only the
// context limits in time. All methods are safe for concurrent use.
type Connection interface {
	// Read returns the value of a key; one without data and with revision 0 when it
	// does not exist.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the changes under a prefix after a revision, as soon as there are
	// any, and the revision to continue from. It returns no changes when the wait
	// elapses first.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Swap writes a key, bound to a lease unless that is 0, if the key is at the
	// expected revision (compare-and-swap), and returns the new revision.
	Swap(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Close closes idle connections.
	Close()
}
