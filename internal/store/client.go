// Package store defines the interfaces to the key-value store: single calls
// (Connection) and operations on single keys (Client).
//
// It holds no state; the adapter in package platform makes the calls. When the store
// does not respond, every call returns an error that tells whether a write may have
// taken effect.
package store

import (
	"context"
	"time"
)

// Revision counts the changes of the store within an epoch; those of a later epoch are
// higher. The revision of a key is that of its last change; a key that does not exist
// has revision 0.
type Revision uint64

// Number returns the number of the revision in its epoch.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// Epoch returns the epoch of the revision.
func (r Revision) Epoch() Epoch { return Epoch(r >> numberBits) }

// In reports whether the revision can be compared with those of an epoch, as 0 always
// can.
func (r Revision) In(epoch Epoch) bool { return r == 0 || r.Epoch() == epoch }

// LeaseID identifies a lease and the epoch in which it was granted; 0 means no lease.
type LeaseID uint64

// Number returns the number of the lease in its epoch.
func (l LeaseID) Number() uint64 { return uint64(l) & maxNumber }

// In reports whether the lease was granted in an epoch. No lease is in all of them.
func (l LeaseID) In(epoch Epoch) bool { return l == 0 || Epoch(l>>numberBits) == epoch }

// Value is the content of a key at a revision.
type Value struct {
	Data     []byte
	Revision Revision
	// Epoch is that of the response. The revision of a missing key, which is 0 in all
	// epochs, does not tell it.
	Epoch Epoch
}

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Client reads and writes single keys of the platform's store. Each method counts
// as one call against the rate limits of the store. All methods are safe for
// concurrent use.
type Client interface {
	// Get returns the value of a key; one without data and with revision 0 when it
	// does not exist.
	Get(ctx context.Context, key string) (Value, error)
	// GetNewer returns the value only when its revision is above known; otherwise
	// it returns the known revision without data. When the key is missing in a later
	// epoch than that of known, it returns what Get returns.
	GetNewer(ctx context.Context, key string, known Revision) (Value, error)
	// CompareAndSwap writes data if the key is at the expected revision (0: the key
	// does not exist) and returns the new revision; otherwise it returns
	// ErrConflict. A key bound to a lease is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected Revision, data []byte, lease LeaseID) (Revision, error)
	// Watch waits until the key's revision is above known and returns its value.
	Watch(ctx context.Context, key string, known Revision) (Value, error)
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
}
