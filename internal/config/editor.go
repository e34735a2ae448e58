package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxEditAttempts bounds the reads and writes of one change.
	maxEditAttempts = 20
	// maxFailedReads is the number of lost reads of one change that are repeated.
	maxFailedReads = 4
	// firstEditBackoff and maxEditBackoff bound the wait between attempts.
	firstEditBackoff = 5 * time.Millisecond
	maxEditBackoff   = 200 * time.Millisecond
)

// Editor applies changes to the stored document with compare-and-swap. It is
// safe for concurrent use.
type Editor struct {
	// Store holds the document.
	Store store.Client
	// Rules are checked on the targets that a change sets.
	Rules Rules
	// VersionInForce returns the version that the node has in force. A stored document
	// below it is an outdated answer.
	VersionInForce func() uint64
	// Random returns a number in [0, 1) for the jitter of the backoff.
	Random func() float64
}

// Apply writes the change to the store. A nil error means that the store holds
// the change. The error of code ChangeOutcomeUnknown means that it may hold it;
// every other error means that nothing was accepted.
func (e *Editor) Apply(ctx context.Context, change Change) (Outcome, error) {
	if err := change.Validate(); err != nil {
		return Outcome{}, err
	}
	attempt := &editAttempt{editor: e, change: change}
	for i := range maxEditAttempts {
		outcome, done, err := attempt.run(ctx)
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
	return Outcome{}, attempt.giveUp()
}

// Preview returns what the change would make of the stored document, without
// writing it.
func (e *Editor) Preview(ctx context.Context, change Change) (before, after *Snapshot, err error) {
	before, _, err = e.Read(ctx)
	if err != nil {
		return nil, nil, err
	}
	after, err = Apply(before, change, e.Rules)
	return before, after, err
}

// Read returns the stored document and its revision.
func (e *Editor) Read(ctx context.Context) (*Snapshot, store.Revision, error) {
	value, err := e.Store.Get(ctx, StoreKey)
	if err != nil {
		return nil, 0, result.Wrap(err, result.StoreUnavailable, "read %s", StoreKey)
	}
	if value.Revision == 0 {
		return EmptySnapshot(), 0, nil
	}
	snapshot, err := DecodeSnapshot(value.Data)
	if err != nil {
		return nil, 0, result.Wrap(err, result.DocumentInvalid, "the stored document cannot be changed")
	}
	return snapshot, value.Revision, nil
}

// backoff waits with full jitter before the next attempt.
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
