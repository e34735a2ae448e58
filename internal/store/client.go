// Package store says what the product needs of a key-value store: single calls
// (Connection) and work on single keys (Client).
//
// It owns no state; the platform's adapter makes the calls. When the store does not
// answer, every call returns an error that tells whether the write can have taken
// effect.
package store

import (
	"context"
	"time"
)

// Revision counts the changes of the store. That of a key is its last change; a key
// that does not exist has revision 0.
type Revision uint64

// LeaseID names a lease; 0 means no lease.
type LeaseID uint64

// Value is the content of a key at a revision.
type Value struct {
	Data     []byte
	Revision Revision
}

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Client reads and writes the platform's store. Every method counts as one call
// against the store's limits. All methods are safe for concurrent use.
type Client interface {
	// Get returns the value of a key; revision 0 and no data when it does not exist.
	Get(ctx context.Context, key string) (Value, error)
	// GetNewer returns the value only when its revision is above known; otherwise
	// it returns the known revision without data.
	GetNewer(ctx context.Context, key string, known Revision) (Value, error)
	// CompareAndSwap writes data when the key is at revision expected (0: the key
	// does not exist) and returns the new revision. A key bound to a lease is
	// deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error)
	// Watch waits until the key's revision is above known and returns its value.
	Watch(ctx context.Context, key string, known Revision) (Value, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
}
