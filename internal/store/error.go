package store

import "github.com/pkg/errors"

var (
	// ErrConflict means that the key is not at the expected revision.
	ErrConflict = errors.New("the key is not at the expected revision")
	// ErrUnavailable means that the store did not respond. A write may have taken
	// effect.
	ErrUnavailable = errors.New("the store does not answer")
	// ErrNotSent means that the request was not sent; a write took no effect.
	ErrNotSent = errors.New("the store was not reached")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("the lease expired")
	// ErrCompacted means that the store has compacted the changes after the given
	// revision, so the keys must be read again.
	ErrCompacted = errors.New("the store has compacted the changes after this revision")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.Errorf("the value exceeds the limit of %d bytes", MaxValueBytes)
)
