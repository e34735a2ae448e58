package config

import (
	"context"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// nothingAccepted ends the messages of changes that certainly had no effect.
const nothingAccepted = "nothing was accepted"

// editAttempt is the state of one change while it is applied.
type editAttempt struct {
	// failedReads counts the reads that got no answer. A single lost answer is no
	// outage, so a few reads are repeated before the change is refused.
	failedReads int
	editor      *Editor
	change      Change
	// unanswered is set after a write without an answer; unansweredAt is the
	// revision that the write expected. Once the key is beyond that revision and
	// the change is not listed, the write cannot take effect any more.
	unanswered   bool
	unansweredAt store.Revision
	// base is the version of the document before the unanswered write.
	base uint64
	// last is the newest reason for another attempt.
	last error
}

// run reads the document once and writes it at most once. done is false when
// another attempt is needed. An error is final only while no write is
// unanswered, because "nothing was accepted" would be a guess otherwise.
func (a *editAttempt) run(ctx context.Context) (outcome Outcome, done bool, err error) {
	outcome, done, err = a.step(ctx)
	if err == nil {
		return outcome, done, nil
	}
	a.last = err
	if result.CodeOf(err) == result.StoreUnavailable && a.failedReads < maxFailedReads {
		a.failedReads++
		return Outcome{}, false, err
	}
	return Outcome{}, !a.unanswered, err
}

// step returns done without an error when the change is accepted, an error when
// the attempt failed for good, and neither when it is worth another attempt.
func (a *editAttempt) step(ctx context.Context) (Outcome, bool, error) {
	current, revision, err := a.editor.Read(ctx)
	if err != nil {
		return Outcome{}, false, errors.WithMessage(err, nothingAccepted)
	}
	if version, found := current.document.AppliedVersion(a.change.ID); found {
		return Outcome{ChangeID: a.change.ID, Version: version, Snapshot: current}, true, nil
	}
	if a.outdated(current, revision) {
		return Outcome{}, false, nil
	}
	next, err := Apply(current, a.change, a.editor.Rules)
	if err != nil {
		return Outcome{}, false, err
	}
	if next == current {
		return Outcome{ChangeID: a.change.ID, Version: current.Version(), Unchanged: true, Snapshot: current}, true, nil
	}
	return a.write(ctx, next, revision)
}

// outdated reports whether the read document is older than what is known to be
// stored. It also settles an unanswered write when the key has moved on.
func (a *editAttempt) outdated(current *Snapshot, revision store.Revision) bool {
	if newest := a.editor.newest(); current.Version() < newest {
		a.last = errors.Errorf("the store returned version %d, but version %d is in force", current.Version(), newest)
		return true
	}
	if !a.unanswered {
		return false
	}
	if revision < a.unansweredAt {
		return true
	}
	if revision > a.unansweredAt && current.Version() <= a.base+MaxKeptChanges {
		a.unanswered = false
	}
	return false
}

func (a *editAttempt) write(ctx context.Context, next *Snapshot, revision store.Revision) (Outcome, bool, error) {
	data, err := next.Encode()
	if err != nil {
		return Outcome{}, false, err
	}
	_, err = a.editor.Store.CompareAndSwap(ctx, StoreKey, revision, data, 0)
	switch {
	case err == nil:
		return Outcome{ChangeID: a.change.ID, Version: next.Version(), Snapshot: next}, true, nil
	case errors.Is(err, store.ErrConflict):
		a.last = err
		return Outcome{}, false, nil
	case errors.Is(err, store.ErrTooLarge):
		return Outcome{}, false, result.Wrap(err, result.DocumentTooLarge, nothingAccepted)
	case errors.Is(err, store.ErrNotSent):
		return Outcome{}, false, result.Wrap(err, result.StoreUnavailable, nothingAccepted)
	}
	a.last = err
	a.unanswered = true
	a.unansweredAt = revision
	a.base = next.Version() - 1
	return Outcome{}, false, nil
}

// giveUp returns the truth about a change that found no end.
func (a *editAttempt) giveUp() error {
	if a.unanswered {
		return result.Wrap(a.last, result.ChangeOutcomeUnknown, "the outcome of change %s is unknown; ask again with this id", a.change.ID)
	}
	return result.Wrap(a.last, result.StoreConflict, "change %s could not be written in %d attempts; %s", a.change.ID, maxEditAttempts, nothingAccepted)
}

func (e *Editor) newest() uint64 {
	if e.VersionInForce == nil {
		return 0
	}
	return e.VersionInForce()
}
