package registry

import (
	"context"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// leavingNoteSuffix follows the key of a node's entry in the key of its note. The note
	// lies beside the entries, so that a node that starts gets it with their list.
	leavingNoteSuffix = "/leaving"
	// leavingNoteTTL is how long a note stays. A server may go on serving for many seconds
	// after it has announced that it leaves, and its announcements arrive seconds late.
	leavingNoteTTL = 30 * time.Second
)

// leavingNote is what a note tells: the run that leaves, and the last other one that has left.
type leavingNote struct{ leaving, departed fleet.Departure }

// storeLeavingNote keeps in the store that the local server leaves, once for each run that
// does. The entry of the node says so too, but is deleted when the node stops and
// lapses when it is killed, and the next process of the node may start later than that.
func (r *Registry) storeLeavingNote(ctx context.Context, local fleet.Entry) error {
	next := r.noted
	if local.LeavingServer != "" {
		next.leaving = fleet.Departure{Server: local.LeavingServer, StartedBy: local.LeavingStart}
	}
	if last := len(local.Departed) - 1; last >= 0 {
		next.departed = local.Departed[last]
	}
	if next == r.noted {
		return nil
	}
	lease, err := r.deps.Store.Grant(ctx, leavingNoteTTL)
	if err != nil {
		return err
	}
	if err := r.deps.Store.Put(ctx, r.config.EntriesPrefix+local.Node+leavingNoteSuffix, local.Encode(), lease); err != nil {
		return err
	}
	r.noted = next
	return nil
}

// readLeavingNote hands the note of an earlier process of this node on.
func (r *Registry) readLeavingNote(key string, value []byte) {
	node := r.LocalEntry().Node
	if key != r.config.EntriesPrefix+node+leavingNoteSuffix {
		return
	}
	note, err := fleet.Decode(node, value)
	if err != nil {
		r.rejectEntry(node, "store", err)
		return
	}
	r.deps.OnPrevious(note)
}

func isLeavingNote(key string) bool { return strings.HasSuffix(key, leavingNoteSuffix) }
