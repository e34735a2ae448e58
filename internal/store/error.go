package store

import "github.com/pkg/errors"

var (
	// ErrConflict means that the key is at another revision than expected.
	ErrConflict = errors.New("the key is at another revision")
	// ErrUnavailable means that the store did not answer. A write may have taken
	// effect.
	ErrUnavailable = errors.New("the store does not answer")
	// ErrNotSent means that the store was not reached; a write took no effect.
	ErrNotSent = errors.New("the store was not reached")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("the lease expired")
	// ErrCompacted means that the store no longer keeps the changes after a
	// revision, so that the keys must be read again.
	ErrCompacted = errors.New("the store no longer keeps these changes")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("the value is too large")
)
