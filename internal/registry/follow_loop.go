package registry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// leaderCooldown is how long a leader that failed is skipped.
	leaderCooldown = 3 * time.Second
	// leaderTimeout bounds a response of a leader beyond the wait for a change: a
	// large configuration for all followers occupies a slow link for most of a
	// second.
	leaderTimeout = time.Second
	// readerWait is how long a poll of a reader in another failure domain waits for a
	// change, and readerTimeout bounds the response beyond it. A region follows its
	// readers, so that an unresponsive one is replaced within a second.
	readerWait    = 300 * time.Millisecond
	readerTimeout = 700 * time.Millisecond
	// confirmedPollWait is how long a poll waits for a change where the age of the
	// configuration counts, which only a response renews.
	confirmedPollWait = 400 * time.Millisecond
	// followPause is the time between a response of a leader that held a change and
	// the next request, so that a burst of changes crosses the failure domain once.
	followPause = 100 * time.Millisecond
)

// errLeaderDisconnected means that the leader has lost the store but this node has
// not.
var errLeaderDisconnected = errors.New("the leader has lost contact with the store")

// pickUpstream returns the node to follow. It returns false when this node must watch
// the store itself: it is a reader, does not know the fleet yet, or all upstreams have
// failed recently.
func (r *Registry) pickUpstream() (fleet.Entry, bool) {
	if !r.fleetKnown.Load() {
		return fleet.Entry{}, false
	}
	now := r.deps.Now()
	for _, candidate := range r.upstreamCache.get(r.deps.Fleet.View(), r.config.Regions, r.LocalEntry()) {
		if now.After(r.leaderCooldownUntil[candidate.Node]) {
			return candidate, true
		}
	}
	return fleet.Entry{}, false
}

// followLeader merges the changes that a leader sees, until the leader fails or
// another one has to be followed.
func (r *Registry) followLeader(ctx context.Context, leader fleet.Entry) {
	r.deps.Log.WithFields(map[string]any{"peer": leader.Node, "domain": leader.Domain}).Info("following a leader")
	r.following.Store(true)
	defer r.following.Store(false)
	defer r.leaderDisconnected.Store(false)
	cursor := leaderCursor{}
	for ctx.Err() == nil {
		changed, err := r.pollLeader(ctx, leader, &cursor)
		if err != nil {
			if ctx.Err() == nil {
				r.deps.Log.WithError(err).WithField("peer", leader.Node).Info("leader lost")
				r.leaderCooldownUntil[leader.Node] = r.deps.Now().Add(leaderCooldown)
			}
			return
		}
		if current, found := r.pickUpstream(); !found || current.Node != leader.Node {
			return
		}
		if changed && !pause(ctx, followPause) {
			return
		}
	}
}

// pollLeader waits for a change that the leader sees and merges it. changed reports
// whether there was one.
func (r *Registry) pollLeader(ctx context.Context, leader fleet.Entry, cursor *leaderCursor) (changed bool, err error) {
	wait, timeout := r.config.WatchWait/2, leaderTimeout
	if r.deps.Freshness != nil {
		wait = min(wait, confirmedPollWait)
	}
	if leader.Domain != r.LocalEntry().Domain {
		wait, timeout = readerWait, readerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	query := peerState{
		Version: r.versionToSend(), Entries: r.entriesToSend(), Digest: r.deps.Fleet.View().Digest(),
		RunID: cursor.runID, Position: cursor.position, WaitMs: wait.Milliseconds(),
	}
	sent := boottime.Now()
	remote, err := r.exchangeState(ctx, r.deps.LeaderClient, leader, query)
	if err != nil {
		return false, err
	}
	leaderDisconnected := time.Duration(remote.SinceContactMs)*time.Millisecond > r.config.PeerAfter
	if leaderDisconnected && !r.confirmDisconnected(ctx) {
		return false, errLeaderDisconnected
	}
	if r.leaderDisconnected.Swap(leaderDisconnected) && !leaderDisconnected {
		// The store is back: the lease may have expired.
		wake(r.localChanged)
	}
	// When the store is unreachable for both, the node keeps following: calls of all
	// followers to the store would not end the outage sooner.
	if !leaderDisconnected {
		r.recordContact()
		r.recordNews()
	}
	r.rewriteLapsed(remote)
	r.mergeState(remote, "leader "+leader.Node)
	r.acceptConfirmation(remote, sent)
	r.applyRemovals(remote)
	r.updates.notify()
	cursor.advance(remote, r.deps.Fleet.View().Digest())
	return remote.Position != query.Position || remote.Version > query.Version, nil
}

// rewriteLapsed has the local entry written again when another node knows that it has
// left the store.
func (r *Registry) rewriteLapsed(remote peerState) {
	if remote.EntryLapsed {
		r.entryLapsed.Store(true)
		wake(r.localChanged)
	}
}

// applyRemovals removes the entries that the leader has removed, has those lapse that a
// complete list of the leader lacks, and keeps the others: the leader decides when lapsed
// entries are removed.
func (r *Registry) applyRemovals(remote peerState) {
	if remote.Complete {
		r.deps.Fleet.SyncFromPeer(remote.Entries, r.LocalEntry(), r.deps.Now())
		return
	}
	if removed := r.withoutLocal(remote.Removed); len(removed) > 0 {
		r.deps.Log.WithField("peers", removed).Info("fleet entries removed")
		r.deps.Fleet.Remove(removed)
	}
	if remote.Digest == r.deps.Fleet.View().Digest() {
		r.deps.Fleet.Confirm()
	}
}

// storeProbeTimeout is how long the store has to respond before a node counts as
// disconnected from it: many times its usual response time.
const storeProbeTimeout = 150 * time.Millisecond

// confirmDisconnected reports whether the store does not respond to this node. A
// follower renews its lease so rarely that its last response from the store may be old
// although the store responds. An old one therefore triggers a renewal, whose response
// is awaited for storeProbeTimeout, at most every OutageRetry.
func (r *Registry) confirmDisconnected(ctx context.Context) bool {
	if !r.isDisconnected() {
		return false
	}
	now := r.deps.Now()
	if now.Sub(r.confirmedAt) < r.config.OutageRetry {
		return true
	}
	r.confirmedAt = now
	wake(r.localChanged)
	return !pause(ctx, storeProbeTimeout) || r.isDisconnected()
}

// waitForUpdate waits until the local state differs from that of a follower, at most
// for the time that the follower allows.
func (r *Registry) waitForUpdate(request *http.Request, remote peerState) {
	if remote.WaitMs <= 0 {
		return
	}
	timer := time.NewTimer(min(time.Duration(remote.WaitMs)*time.Millisecond, r.config.WatchWait))
	defer timer.Stop()
	for {
		changed := r.updates.next()
		if r.hasUpdateFor(remote) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-request.Context().Done():
			return
		}
	}
}

// withoutLocal returns the nodes without this one, which is known to be alive.
func (r *Registry) withoutLocal(nodes []string) []string {
	localNode := r.LocalEntry().Node
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == localNode })
}

// hasUpdateFor reports whether a follower lacks a change. A follower without a position
// gets a response at once, with all entries of the fleet if its digest differs.
func (r *Registry) hasUpdateFor(remote peerState) bool {
	view := r.deps.Fleet.View()
	if uint64(r.deps.Routes.Version()) > remote.Version {
		return true
	}
	if remote.RunID != r.runID || remote.Position == 0 {
		return true
	}
	return view.Position() != remote.Position
}
