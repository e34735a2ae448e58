package store

import (
	"context"
	"time"
)

// Connection makes single calls to a store. Each method is one call; its time is
// bounded by the context only. All methods are safe for concurrent use.
type Connection interface {
	// Read returns the value of a key; revision 0 and no data when it does not exist.
	Read(ctx context.Context, key string) (Value, error)
	// Watch returns the changes under a prefix after a revision as soon as there is
	// one, or none after the wait, and the revision to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Swap writes a key, bound to a lease, when it is at the expected revision.
	Swap(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Close closes the idle connections.
	Close()
}
