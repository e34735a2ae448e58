package config

import (
	"context"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// nothingAccepted states in an error that the change certainly had no effect.
const nothingAccepted = "nothing was accepted"

// editOperation is the state of one change across its attempts.
type editOperation struct {
	editor *Editor
	change Change
	// failedReads counts the reads without a response. One lost response is not an
	// outage, so up to maxReadRetries reads are retried before the change is
	// rejected.
	failedReads int
	// writeUnresolved is set after a write without a response and
	// unresolvedRevision is the revision that this write expected. Once the key
	// has a later revision and the document does not list the change, the write
	// can no longer take effect.
	writeUnresolved    bool
	unresolvedRevision store.Revision
	// unresolvedBase is the document version that the unresolved write was based
	// on.
	unresolvedBase uint64
	// lastErr is the reason for the latest retry.
	lastErr error
}

// attempt reads the document once and writes it at most once. done is false
// when another attempt is needed. While a write is unresolved no error is
// final, because its statement that nothing was accepted might be wrong.
func (o *editOperation) attempt(ctx context.Context) (outcome Outcome, done bool, err error) {
	outcome, done, err = o.readAndWrite(ctx)
	if err == nil {
		return outcome, done, nil
	}
	o.lastErr = err
	if result.CodeOf(err) == result.StoreUnavailable && o.failedReads < maxReadRetries {
		o.failedReads++
		return Outcome{}, false, err
	}
	return Outcome{}, !o.writeUnresolved, err
}

// readAndWrite returns true without an error when the change is accepted, an
// error when the attempt failed, and neither when a retry may succeed.
func (o *editOperation) readAndWrite(ctx context.Context) (Outcome, bool, error) {
	current, revision, err := o.editor.Read(ctx)
	if err != nil {
		return Outcome{}, false, errors.WithMessage(err, nothingAccepted)
	}
	if version, found := current.document.AppliedVersion(o.change.ID); found {
		return Outcome{ChangeID: o.change.ID, Version: version, Snapshot: current}, true, nil
	}
	if o.isStale(current, revision) {
		return Outcome{}, false, nil
	}
	next, err := Apply(current, o.change, o.editor.Rules)
	if err != nil {
		return Outcome{}, false, err
	}
	if next == current {
		return Outcome{ChangeID: o.change.ID, Version: current.Version(), Unchanged: true, Snapshot: current}, true, nil
	}
	return o.write(ctx, next, revision)
}

// isStale reports whether the document that was read is older than a version
// known to be in force or than the base of an unresolved write. It marks the
// write as resolved when the key has a later revision and the document would
// still list the change.
func (o *editOperation) isStale(current *Snapshot, revision store.Revision) bool {
	if inForce := o.editor.versionInForce(); current.Version() < inForce {
		o.lastErr = errors.Errorf("the store returned version %d, but version %d is in force", current.Version(), inForce)
		return true
	}
	if !o.writeUnresolved {
		return false
	}
	if revision < o.unresolvedRevision {
		return true
	}
	if revision > o.unresolvedRevision && current.Version() <= o.unresolvedBase+MaxAppliedChanges {
		o.writeUnresolved = false
	}
	return false
}

// write stores the next document if the key still has the revision.
func (o *editOperation) write(ctx context.Context, next *Snapshot, revision store.Revision) (Outcome, bool, error) {
	data, err := next.Encode()
	if err != nil {
		return Outcome{}, false, err
	}
	_, err = o.editor.Store.CompareAndSwap(ctx, StoreKey, revision, data, 0)
	switch {
	case err == nil:
		return Outcome{ChangeID: o.change.ID, Version: next.Version(), Snapshot: next}, true, nil
	case errors.Is(err, store.ErrConflict):
		o.lastErr = err
		return Outcome{}, false, nil
	case errors.Is(err, store.ErrTooLarge):
		return Outcome{}, false, result.Wrap(err, result.DocumentTooLarge, nothingAccepted)
	case errors.Is(err, store.ErrNotSent):
		return Outcome{}, false, result.Wrap(err, result.StoreUnavailable, nothingAccepted)
	}
	o.lastErr = err
	o.writeUnresolved = true
	o.unresolvedRevision = revision
	o.unresolvedBase = next.Version() - 1
	return Outcome{}, false, nil
}

// finalError returns the error of a change that was neither accepted nor
// rejected within its attempts.
func (o *editOperation) finalError() error {
	if o.writeUnresolved {
		return result.Wrap(o.lastErr, result.ChangeOutcomeUnknown, "the outcome of change %s is unknown; ask again with this id", o.change.ID)
	}
	return result.Wrap(o.lastErr, result.StoreConflict, "change %s could not be written in %d attempts; %s", o.change.ID, maxEditAttempts, nothingAccepted)
}

// versionInForce returns the version in force on the node; 0 when the editor
// does not know it.
func (e *Editor) versionInForce() uint64 {
	if e.VersionInForce == nil {
		return 0
	}
	return e.VersionInForce()
}
