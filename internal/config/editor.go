package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxEditAttempts is the maximum number of attempts of one change.
	maxEditAttempts = 20
	// maxReadRetries is the maximum number of retries of failed reads of one
	// change.
	maxReadRetries = 4
	// firstEditBackoff and maxEditBackoff are the first and the largest limit of
	// the random wait between attempts.
	firstEditBackoff = 5 * time.Millisecond
	maxEditBackoff   = 200 * time.Millisecond
)

// Editor applies changes to the stored document by compare-and-swap. It is safe
// for concurrent use.
type Editor struct {
	// Store holds the document.
	Store store.Client
	// Rules are checked on the targets that a change sets.
	Rules Rules
	// VersionInForce returns the version that the node has in force; may be nil.
	// A stored document with a lower version is a stale read.
	VersionInForce func() uint64
	// Random returns a number in [0, 1) for the jitter of the backoff.
	Random func() float64
}

// Apply writes the change to the store. A nil error means that the store has
// accepted the change. An error with the code ChangeOutcomeUnknown means that
// the store may have accepted it; any other error means that nothing was
// accepted.
func (e *Editor) Apply(ctx context.Context, change Change) (Outcome, error) {
	if err := change.Validate(); err != nil {
		return Outcome{}, err
	}
	operation := &editOperation{editor: e, change: change}
	for i := range maxEditAttempts {
		outcome, done, err := operation.attempt(ctx)
		if done {
			return outcome, err
		}
		if ctx.Err() != nil {
			break
		}
		if err := e.backoff(ctx, i); err != nil {
			break
		}
	}
	return Outcome{}, operation.finalError()
}

// Preview returns the stored document and the document that the change would
// produce, without writing it.
func (e *Editor) Preview(ctx context.Context, change Change) (before, after *Snapshot, err error) {
	before, _, err = e.Read(ctx)
	if err != nil {
		return nil, nil, err
	}
	after, err = Apply(before, change, e.Rules)
	return before, after, err
}

// Read returns the stored document and its revision; the empty snapshot and
// revision 0 when the store has none.
func (e *Editor) Read(ctx context.Context) (*Snapshot, store.Revision, error) {
	value, err := e.Store.Get(ctx, StoreKey)
	if err != nil {
		return nil, 0, result.Wrap(err, result.StoreUnavailable, "read %s from the store", StoreKey)
	}
	if value.Revision == 0 {
		return EmptySnapshot(), 0, nil
	}
	snapshot, err := DecodeSnapshot(value.Data)
	if err != nil {
		return nil, 0, result.Wrap(err, result.DocumentInvalid, "decode the stored document")
	}
	return snapshot, value.Revision, nil
}

// backoff waits with exponential backoff and full jitter before the next
// attempt. It returns the error of the context when that ends first.
func (e *Editor) backoff(ctx context.Context, attempt int) error {
	limit := min(firstEditBackoff<<min(attempt, 10), maxEditBackoff)
	timer := time.NewTimer(time.Duration(e.Random() * float64(limit)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	case <-timer.C:
		return nil
	}
}
