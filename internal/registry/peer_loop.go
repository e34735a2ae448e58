package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

const (
	// PeerPath is the path on the inbound proxy's port under which a node serves its
	// peers.
	PeerPath = "/v1/state"
	// maxPeerStateBytes bounds the state of a peer: the largest configuration of the
	// store in base64, and the entries.
	maxPeerStateBytes = 4 << 20
)

// peerLoop queries the suspected nodes in every pass, and a random peer while the
// store is unresponsive or a peer has had a newer configuration for too long.
func (r *Registry) peerLoop(ctx context.Context) {
	for r.waitForPeerTrigger(ctx) {
		for _, entry := range r.takeSuspects() {
			if r.queryPeer(ctx, entry) {
				r.deps.OnReached(entry.Node)
			} else {
				r.requeueSuspect(entry)
			}
		}
		if entry, found := r.pickPeer(); found && (r.sinceContact() > r.config.PeerAfter || r.isPeerVersionOverdue()) {
			r.queryPeer(ctx, entry)
		}
		r.expireWhileConnected()
	}
}

// isPeerVersionOverdue reports whether a peer has had a newer configuration for a
// whole interval, in which the watch of the store should have delivered it.
func (r *Registry) isPeerVersionOverdue() bool {
	behind := r.newestPeerVersion.Load() > uint64(r.deps.Routes.Version())
	overdue := behind && r.peerVersionOverdue
	r.peerVersionOverdue = behind
	return overdue
}

// waitForPeerTrigger waits for PeerInterval, or for only half of it when triggered.
// It returns false when the context ends first.
func (r *Registry) waitForPeerTrigger(ctx context.Context) bool {
	if !pause(ctx, r.config.PeerInterval/2) {
		return false
	}
	timer := time.NewTimer(r.config.PeerInterval / 2)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.peerTrigger:
		return true
	case <-ctx.Done():
		return false
	}
}

// expireWhileConnected removes lapsed entries while the store responds, so that
// entries that lapsed just before an outage do not stay forever. Entries lapse only
// on events of the store, so none are added during an outage.
func (r *Registry) expireWhileConnected() {
	if r.sinceContact() < r.config.PeerAfter {
		r.expire()
	}
}

// takeSuspects returns the suspected nodes and clears the set.
func (r *Registry) takeSuspects() []fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := slices.Collect(maps.Values(r.suspects))
	clear(r.suspects)
	return entries
}

// requeueSuspect has a node queried again in the next pass, as long as it belongs to
// the fleet.
func (r *Registry) requeueSuspect(entry fleet.Entry) {
	if _, found := r.deps.Fleet.Get(entry.Node); !found {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[entry.Node] = entry
}

// pickPeer returns a random other node, or false when there is none.
func (r *Registry) pickPeer() (fleet.Entry, bool) {
	return r.pickPeerIn(isAny)
}

func isAny(fleet.Entry) bool { return true }

// pickNearPeer returns a random other node, if possible of the local failure domain.
func (r *Registry) pickNearPeer() (fleet.Entry, bool) {
	domain := r.LocalEntry().Domain
	if peer, found := r.pickPeerIn(func(e fleet.Entry) bool { return e.Domain == domain }); found {
		return peer, true
	}
	return r.pickPeer()
}

// pickPeerIn returns a random other node among those that are eligible.
func (r *Registry) pickPeerIn(eligible func(fleet.Entry) bool) (fleet.Entry, bool) {
	return r.pickOther(r.deps.Fleet.View().Entries(), eligible)
}

// pickOther returns a random other node of a list among those that are eligible.
func (r *Registry) pickOther(entries []fleet.Entry, eligible func(fleet.Entry) bool) (fleet.Entry, bool) {
	localNode := r.LocalEntry().Node
	entries = slices.DeleteFunc(slices.Clone(entries), func(e fleet.Entry) bool { return e.Node == localNode || !eligible(e) })
	if len(entries) == 0 {
		return fleet.Entry{}, false
	}
	return entries[min(int(r.deps.Random()*float64(len(entries))), len(entries)-1)], true
}

// queryPeer exchanges states with a node and reports whether it responded. A node
// with an older configuration is sent the local one.
func (r *Registry) queryPeer(ctx context.Context, entry fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.PeerTimeout)
	defer cancel()
	r.peerRequests.Inc(1)
	view := r.deps.Fleet.View()
	query := peerState{
		Version: r.versionToSend(), Digest: view.Digest(), Entries: r.entriesToSend(),
		SinceContactMs: r.sinceContact().Milliseconds(), FleetKnown: r.fleetKnown.Load(),
	}
	sent := boottime.Now()
	remote, err := r.exchangeState(ctx, r.deps.PeerClient, entry, query)
	if err != nil {
		return false
	}
	r.rewriteLapsed(remote)
	source := "peer " + entry.Node
	r.mergeState(r.mergeReported(remote, entry.Node, source), source)
	r.acceptConfirmation(remote, sent)
	if routing.Version(remote.Version) < r.deps.Routes.Version() {
		if _, err := r.exchangeState(ctx, r.deps.PeerClient, entry, r.stateFor(remote)); err != nil {
			r.deps.Log.WithError(err).WithField("peer", entry.Node).Info("failed to send the configuration to a peer")
		}
	}
	return true
}

// entriesToSend returns the entries that a query carries: the local one, except in the
// first exchange of a process that knows no server yet. That entry would replace the
// one of an earlier process at the peer, which may say that the server leaves.
func (r *Registry) entriesToSend() []fleet.Entry {
	local := r.LocalEntry()
	if local.Server == "" && !r.exchanged.Load() {
		return nil
	}
	return []fleet.Entry{local}
}

// exchangeState sends the local state to a node and returns that of the node.
func (r *Registry) exchangeState(ctx context.Context, client *http.Client, entry fleet.Entry, local peerState) (peerState, error) {
	encoded, err := json.Marshal(local)
	if err != nil {
		return peerState{}, errors.Wrap(err, "encode the local state")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.InboundAddress+PeerPath, bytes.NewReader(encoded))
	if err != nil {
		return peerState{}, errors.Wrapf(err, "query node %s", entry.Node)
	}
	response, err := client.Do(request)
	if err != nil {
		return peerState{}, errors.Wrapf(err, "query node %s", entry.Node)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return peerState{}, errors.Errorf("node %s responded with status %d, expected %d", entry.Node, response.StatusCode, http.StatusOK)
	}
	state, err := decodeState(response.Body)
	if err == nil {
		r.exchanged.Store(true)
	}
	return state, err
}

// stateFor returns the local state as the response to a node: with the configuration
// when the node has an older one, and with the entries that it lacks.
func (r *Registry) stateFor(remote peerState) peerState {
	view := r.deps.Fleet.View()
	state := peerState{
		Version: uint64(r.deps.Routes.Version()), Digest: view.Digest(), SinceContactMs: r.sinceContact().Milliseconds(),
		RunID: r.runID, Position: view.Position(), FleetKnown: r.fleetKnown.Load(),
	}
	changes, incremental := fleet.Changes{}, false
	if remote.RunID == r.runID {
		changes, incremental = r.deps.Fleet.ChangesSince(remote.Position)
	}
	switch {
	case incremental:
		state.Entries, state.Removed, state.Position = changes.Entries, changes.Removed, changes.Position
	case state.Digest != remote.Digest:
		state.Entries, state.Complete = view.Entries(), true
	}
	// The revision is read first: it must not be that of a later version.
	revision := r.revisionToSend()
	if retained := r.retainedConfiguration(); remote.Version < retained.version {
		state.Revision = revision
		if versionChanges, found := changesFrom(retained.changes, remote.Version); found {
			state.Changes = versionChanges
		} else {
			state.Configuration = retained.compressed
		}
	}
	return state
}

// mergeReported merges the entries of other nodes in the complete state of a peer that
// this node does not follow, and returns the state without them. The peer may hold a node
// that has left, whose removal the store does not report again. While the store does not
// respond, peers are the only source, and nothing is removed.
func (r *Registry) mergeReported(remote peerState, peer, source string) peerState {
	if !remote.Complete || !r.fleetKnown.Load() || r.sinceContact() >= r.config.PeerAfter {
		return remote
	}
	localNode := r.LocalEntry().Node
	var rest []fleet.Entry
	for _, entry := range remote.Entries {
		if entry.Node == localNode || entry.Node == peer || entry.Validate() != nil {
			rest = append(rest, entry)
			continue
		}
		if r.deps.Fleet.MergeReported(entry, r.deps.Now(), r.config.OutageRetry) {
			r.announceChange(entry, source)
		}
	}
	remote.Entries = rest
	return remote
}

// mergeState merges the state of a peer into the local one.
func (r *Registry) mergeState(remote peerState, source string) {
	for _, entry := range remote.Entries {
		if err := entry.Validate(); err != nil {
			r.rejectEntry(entry.Node, source, err)
			continue
		}
		r.mergeEntry(entry, source)
	}
	// A node that starts is ready with its first configuration and must know by then
	// whether its server leaves.
	if len(remote.Configuration)+len(remote.Changes) > 0 && routing.Version(remote.Version) > r.deps.Routes.Version() {
		r.applyPeerConfiguration(remote, source)
		if r.deps.Routes.Version() == routing.Version(remote.Version) {
			r.acceptRevision(remote.Revision)
		}
	}
	// The peer may have sent an older configuration, or changes that did not apply.
	if version := routing.Version(remote.Version); version > r.deps.Routes.Version() {
		r.ReportNewerVersion(version)
	}
	fleetComplete := remote.FleetKnown && (remote.Complete || remote.Digest == r.deps.Fleet.View().Digest())
	if fleetComplete && !r.fleetKnown.Swap(true) {
		r.deps.Log.WithField("entries", len(remote.Entries)).Info("fleet loaded from a peer")
	}
}

// ServeHTTP responds to the state of a peer with the local state. A request with
// WaitMs is a long poll.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != PeerPath || request.Method != http.MethodPost {
		http.NotFound(w, request)
		return
	}
	arrived := boottime.Now()
	remote, err := decodeState(request.Body)
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Warn("invalid state of a peer rejected")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// Only the store tells a reader of it, and a follower that renews its lease would never
	// write the entry again. The merge ends the retention, so it must be told now, whether
	// the node polls or queries.
	lapsed := slices.ContainsFunc(remote.Entries, r.deps.Fleet.HasDeparted)
	source := "peer " + request.RemoteAddr
	r.mergeState(r.mergeReported(remote, "", source), source)
	if !lapsed {
		r.waitForUpdate(request, remote)
	}
	state := r.stateFor(remote)
	state.EntryLapsed = lapsed
	r.stateConfirmation(&state, arrived)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		r.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Info("failed to send the state to a peer")
	}
}

func decodeState(body io.Reader) (peerState, error) {
	var state peerState
	if err := json.NewDecoder(io.LimitReader(body, maxPeerStateBytes)).Decode(&state); err != nil {
		return peerState{}, errors.Wrap(err, "decode the state of a peer")
	}
	return state, nil
}
