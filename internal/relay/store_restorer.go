package relay

import (
	"context"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// storeRestorer writes the document in force back to a store that came back from an
// earlier copy and has lost it. Until the store has it, changes are refused, and a
// fleet that restarts takes the older document.
type storeRestorer struct{ relay *Relay }

// restore handles a value that was read from the store. It returns once the value is no
// longer older than the document in force, or another one has replaced it.
func (r storeRestorer) restore(ctx context.Context, value store.Value) {
	for failures := 0; r.isLost(value); failures++ {
		current := r.relay.options.Holder.Current()
		err := r.write(ctx, current, value.Revision)
		switch {
		case err == nil:
			r.report(current, value)
			return
		case errors.Is(err, store.ErrConflict):
			return
		}
		if ctx.Err() == nil {
			r.relay.metrics.storeFailures.Inc(1)
		}
		if failures == 0 {
			r.relay.options.Logger.WithError(err).Warnf("cannot write version %d back to the restored store; retrying", current.Version())
		}
		if !sleep(ctx, fullJitter(baseStoreBackoff, maxStoreBackoff, failures, r.relay.options.Random())) {
			return
		}
	}
}

// isLost reports whether a value shows that the store has lost the document in force.
// In the first epoch that this process sees, an older value is a stale read. A value that
// states no version was not written by an operator's change and stays.
func (r storeRestorer) isLost(value store.Value) bool {
	version := config.VersionOf(value.Data)
	return value.Revision.Epoch() > 0 && version > 0 && version < r.relay.options.Holder.Current().Version()
}

func (r storeRestorer) write(ctx context.Context, snapshot *config.Snapshot, expected store.Revision) error {
	data, err := snapshot.Encode()
	if err != nil {
		return err
	}
	_, err = r.relay.options.Store.CompareAndSwap(ctx, config.StoreKey, expected, data, 0)
	return err
}

// report records the write, with the changes of the replaced document that the one in
// force does not have: operators have to make them again.
func (r storeRestorer) report(current *config.Snapshot, replaced store.Value) {
	r.relay.metrics.restoredDocuments.Inc(1)
	message := fmt.Sprintf("the store came back from an earlier copy with version %d; wrote version %d, which is in force, back", config.VersionOf(replaced.Data), current.Version())
	if snapshot, err := config.DecodeSnapshot(replaced.Data); err != nil {
		message += fmt.Sprintf(" over a document that cannot be read: %v", err)
	} else if missing := current.MissingChanges(snapshot); len(missing) > 0 {
		message += ", which does not have the changes " + strings.Join(missing, ", ") + "; make them again"
	}
	r.relay.options.Logger.Warn(message)
	r.relay.options.Events.Record(event.Event{Kind: event.KindRepair, Subject: formatVersion(current.Version()), Message: message})
}
