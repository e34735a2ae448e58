package registry

import (
	"context"
	"errors"
	"net/http/httptrace"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// watchLoop loads the fleet and the configuration from the store and watches their
// changes, or follows a leader.
func (r *Registry) watchLoop(ctx context.Context) {
	retry := r.newBackoff()
	for ctx.Err() == nil {
		if leader, found := r.pickUpstream(); found {
			r.followLeader(ctx, leader)
			continue
		}
		revision, err := r.loadFleet(ctx)
		if err == nil && !r.awaitedFleet && r.deps.Fleet.View().Len() <= 1 {
			r.awaitedFleet = true
			revision, err = r.awaitFleet(ctx, revision)
		}
		if _, found := r.pickUpstream(); err == nil && found {
			// The leader serves the configuration compressed.
			continue
		}
		if err == nil {
			r.askPeerOnce(ctx)
			err = r.refreshConfiguration(ctx)
		}
		if errors.Is(err, errAwaitPeers) {
			continue
		}
		if err == nil {
			retry.reset()
			err = r.followStore(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			r.deps.Log.Info("store has compacted its history; listing again")
			continue
		}
		r.recordStoreFailure("watch", err)
		if !pause(ctx, retry.next()) {
			return
		}
	}
}

// loadFleet reads the entries of the fleet and returns the revision to watch from.
func (r *Registry) loadFleet(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	wasStored, listed := r.hasStored(), false
	items, revision, err := r.deps.Store.List(ctx, r.config.EntriesPrefix)
	if err != nil {
		return 0, err
	}
	r.recordStoreResponse()
	var entries []fleet.Entry
	for _, item := range items {
		node, found := r.nodeFromKey(item.Key)
		if !found {
			r.readLeavingNote(item.Key, item.Value)
			continue
		}
		entry, err := fleet.Decode(node, item.Value)
		if err != nil {
			r.rejectEntry(node, "store", err)
			continue
		}
		if entry.Node == r.LocalEntry().Node {
			listed = true
			r.raiseIncarnation(entry)
			entry = r.LocalEntry()
		}
		entries = append(entries, entry)
	}
	if wasStored && !listed {
		r.deps.Log.Info("local entry is missing in the store; writing it again")
		r.rewriteEntry()
	}
	r.syncFleet(append(entries, r.LocalEntry()), revision.Epoch())
	r.updates.notify()
	if !r.fleetKnown.Swap(true) {
		r.deps.Log.WithField("entries", len(entries)).Info("fleet loaded from the store")
	}
	return revision, nil
}

// syncFleet merges the complete list of the entries in the store.
func (r *Registry) syncFleet(entries []fleet.Entry, epoch store.Epoch) {
	now := r.deps.Now()
	if epoch != r.listedEpoch {
		// A lease of the copy that nobody renews ends within its TTL.
		r.listedEpoch, r.relistAt = epoch, now.Add(r.config.LeaseTTL+r.config.CallTimeout)
	}
	if r.relistAt.IsZero() || now.After(r.relistAt) {
		r.relistAt = time.Time{}
		r.deps.Fleet.SyncFromStore(entries, now)
		return
	}
	if departed := r.deps.Fleet.SyncFromRestoredStore(entries, now, r.config.OutageRetry); len(departed) > 0 {
		r.deps.Log.WithField("peers", departed).Info("entries of departed nodes in the restored store ignored")
	}
}

// relistDue reports whether the leases of the copy from which the store was restored
// have ended, so that what the store lists is in use.
func (r *Registry) relistDue() bool {
	return !r.relistAt.IsZero() && r.deps.Now().After(r.relistAt)
}

// awaitFleet waits for the entries of other nodes after a start with an empty fleet. It
// returns the revision to watch from.
func (r *Registry) awaitFleet(ctx context.Context, revision store.Revision) (store.Revision, error) {
	if !pause(ctx, r.config.StartPause) {
		return revision, ctx.Err()
	}
	events, next, err := r.watchOnce(ctx, revision, firstWatchWait)
	if err != nil {
		return revision, err
	}
	r.recordStoreResponse()
	r.applyEvents(events)
	return next, nil
}

// askPeerOnce makes a node that starts as a reader query a peer before it is ready. A
// store that was restored may hold neither the newest configuration nor the entry in
// which an earlier process of this node acknowledged that its server leaves; peers do.
// Other nodes learn both from their leader.
func (r *Registry) askPeerOnce(ctx context.Context) {
	if r.askedPeer {
		return
	}
	r.askedPeer = true
	peer, found := r.pickNearPeer()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.PeerTimeout)
	defer cancel()
	unreachable := time.AfterFunc(startConnectTimeout, cancel)
	defer unreachable.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { unreachable.Stop() }})
	if !r.queryPeer(ctx, peer) {
		r.deps.Log.WithField("peer", peer.Node).Info("peer did not respond to the query at the start")
	}
}

// startConnectTimeout is how long a starting node waits for a peer to accept its
// connection: two round trips between regions. After a common restart the peer's host may
// not be up, and calls are refused meanwhile.
const startConnectTimeout = 60 * time.Millisecond

// firstWatchWait is the wait of the watch after StartPause, whose events have occurred
// already. It delays a node without a fleet.
const firstWatchWait = 100 * time.Millisecond

// errAwaitPeers means that other nodes of the region read a changed configuration.
var errAwaitPeers = errors.New("another node of the region reads the configuration")

// refreshConfiguration reads the configuration unless it is the one in force. A node that
// has one and only lacks an upstream leaves the read to others as a follower does.
func (r *Registry) refreshConfiguration(ctx context.Context) error {
	if r.deps.Routes.Version() == 0 || r.isReader() {
		return r.readConfiguration(ctx)
	}
	asked := boottime.Now()
	unchanged, err := r.isAt(ctx, store.Revision(r.configurationRevision.Load()))
	switch {
	case err != nil:
		return err
	case unchanged:
		r.recordStoreResponse()
		r.recordConfirmation(asked)
		return nil
	case !r.mustReadStore(ctx):
		return errAwaitPeers
	default:
		return r.readConfiguration(ctx)
	}
}

// isReader reports whether the node watches the store for its region.
func (r *Registry) isReader() bool {
	return len(r.upstreamCache.get(r.deps.Fleet.View(), r.config.Regions, r.LocalEntry())) == 0
}

// readConfiguration reads the configuration and puts it in force. A large one takes a
// while on a slow link, and longer when every node reads it after a common restart.
func (r *Registry) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.ReadTimeout)
	defer cancel()
	asked := boottime.Now()
	items, _, err := r.deps.Store.List(ctx, r.config.ConfigurationKey)
	if err != nil {
		return err
	}
	r.recordStoreResponse()
	for _, item := range items {
		if item.Key == r.config.ConfigurationKey {
			r.applyConfiguration(item.Value, "store")
		}
	}
	r.recordConfirmation(asked)
	return nil
}

// maxCompleteEvents is the number of events below which a response of the watch holds all
// changes up to its question. One without events confirms nothing: a watch that started
// while the store compacted its history gets none.
const maxCompleteEvents = 100

// followStore applies changes of the store. It returns nil when a leader can be
// followed, and an error when the watch fails.
func (r *Registry) followStore(ctx context.Context, revision store.Revision) error {
	for {
		asked := boottime.Now()
		events, next, err := r.watchOnce(ctx, revision, r.config.WatchWait)
		if err != nil {
			return err
		}
		r.recordStoreResponse()
		r.recordNews()
		revision = next
		r.applyEvents(events)
		if len(events) > 0 && len(events) < maxCompleteEvents {
			r.recordConfirmation(asked)
		}
		r.expire()
		if _, found := r.pickUpstream(); found {
			return nil
		}
		if r.relistDue() {
			// The watch goes on from the same revision: the list holds no configuration.
			if _, err := r.loadFleet(ctx); err != nil {
				return err
			}
		}
		if len(events) > 0 && !pause(ctx, r.config.WatchPause) {
			return ctx.Err()
		}
	}
}

func (r *Registry) watchOnce(ctx context.Context, revision store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+r.config.CallTimeout)
	defer cancel()
	return r.deps.Store.Watch(ctx, r.config.WatchPrefix, revision, wait)
}

// applyEvents applies changes in order. Of several configurations only the newest
// valid one is put in force: versions in quick succession would otherwise keep a slow
// processor busy with decoding ones that are replaced at once. The last one is taken for
// the newest, except after a restore, when lost versions are written again in any order.
func (r *Registry) applyEvents(events []store.Event) {
	applied := false
	for _, event := range slices.Backward(events) {
		if event.Key == r.config.ConfigurationKey && !event.Removed && !applied {
			applied = r.applyConfiguration(event.Value, "store") && r.relistAt.IsZero()
		}
	}
	for _, event := range events {
		if event.Key == r.config.ConfigurationKey {
			// Only now: until it is applied, the configuration of this revision is not in force.
			r.configurationRevision.Store(uint64(event.Revision))
		}
		r.applyEntryEvent(event)
	}
}

func (r *Registry) applyEntryEvent(event store.Event) {
	node, isEntry := r.nodeFromKey(event.Key)
	switch {
	case isEntry && event.Removed:
		r.applyRemoval(node)
	case isEntry:
		r.applyEntry(node, event.Value)
	}
}

// expire removes the nodes that did not write their entry again after it lapsed.
func (r *Registry) expire() {
	for _, node := range r.deps.Fleet.Expire(r.deps.Now()) {
		r.updates.notify()
		r.deps.Log.WithField("peer", node).Info("fleet entry expired")
	}
}
