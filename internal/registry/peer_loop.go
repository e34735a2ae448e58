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

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

const (
	// PeerPath is the path of the gate's port that answers peers.
	PeerPath = "/v1/state"
	// maxPeerStateBytes bounds what a peer may send: the largest configuration of the
	// store in base64, and the entries.
	maxPeerStateBytes = 4 << 20
)

// peerLoop asks peers while the store is silent, when one holds a newer
// configuration, and those that could not be reached.
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

// isPeerVersionOverdue reports whether a peer has held a newer configuration for a whole
// interval, in which the store's watch should have brought it.
func (r *Registry) isPeerVersionOverdue() bool {
	behind := r.newestPeerVersion.Load() > uint64(r.deps.Routes.Version())
	overdue := behind && r.peerVersionOverdue
	r.peerVersionOverdue = behind
	return overdue
}

// waitForPeerTrigger waits for the interval, or for less when there is a reason.
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

// expireWhileConnected keeps entries that lapsed just before the store went away
// from staying forever; without events of the store nothing new lapses.
func (r *Registry) expireWhileConnected() {
	if r.sinceContact() < r.config.PeerAfter {
		r.expire()
	}
}

func (r *Registry) takeSuspects() []fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := slices.Collect(maps.Values(r.suspects))
	clear(r.suspects)
	return entries
}

// requeueSuspect asks a node again later, while it belongs to the fleet.
func (r *Registry) requeueSuspect(entry fleet.Entry) {
	if _, found := r.deps.Fleet.Get(entry.Node); !found {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[entry.Node] = entry
}

// pickPeer returns a random other node.
func (r *Registry) pickPeer() (fleet.Entry, bool) {
	own := r.LocalEntry().Node
	entries := slices.DeleteFunc(slices.Clone(r.deps.Fleet.View().Entries()), func(e fleet.Entry) bool { return e.Node == own })
	if len(entries) == 0 {
		return fleet.Entry{}, false
	}
	return entries[min(int(r.deps.Random()*float64(len(entries))), len(entries)-1)], true
}

// queryPeer exchanges states with a node and reports whether it answered. A node with
// an older configuration gets this one's.
func (r *Registry) queryPeer(ctx context.Context, entry fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.PeerTimeout)
	defer cancel()
	r.peerRequests.Inc(1)
	view := r.deps.Fleet.View()
	question := peerState{
		Version: uint64(r.deps.Routes.Version()), Digest: view.Digest(), Entries: []fleet.Entry{r.LocalEntry()},
		SinceContactMs: r.sinceContact().Milliseconds(), FleetKnown: r.fleetKnown.Load(),
	}
	theirs, err := r.exchangeState(ctx, r.deps.PeerClient, entry, question)
	if err != nil {
		return false
	}
	r.mergeState(theirs, "peer "+entry.Node)
	if routing.Version(theirs.Version) < r.deps.Routes.Version() {
		if _, err := r.exchangeState(ctx, r.deps.PeerClient, entry, r.stateFor(theirs)); err != nil {
			r.deps.Log.WithError(err).WithField("peer", entry.Node).Info("configuration not passed on")
		}
	}
	return true
}

// exchangeState sends a state and returns that of the node.
func (r *Registry) exchangeState(ctx context.Context, client *http.Client, entry fleet.Entry, ours peerState) (peerState, error) {
	encoded, err := json.Marshal(ours)
	if err != nil {
		return peerState{}, errors.Wrap(err, "encode the own state")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Gate+PeerPath, bytes.NewReader(encoded))
	if err != nil {
		return peerState{}, errors.Wrapf(err, "ask node %s", entry.Node)
	}
	response, err := client.Do(request)
	if err != nil {
		return peerState{}, errors.Wrapf(err, "ask node %s", entry.Node)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return peerState{}, errors.Errorf("node %s answered %d", entry.Node, response.StatusCode)
	}
	return decodeState(response.Body)
}

// stateFor returns the own stateFor for a node: the configuration when it holds an older
// one, the entries when it holds others.
func (r *Registry) stateFor(theirs peerState) peerState {
	view := r.deps.Fleet.View()
	state := peerState{
		Version: uint64(r.deps.Routes.Version()), Digest: view.Digest(), SinceContactMs: r.sinceContact().Milliseconds(),
		RunID: r.runID, Position: view.Position(), FleetKnown: r.fleetKnown.Load(),
	}
	changes, known := fleet.Changes{}, false
	if theirs.RunID == r.runID {
		changes, known = r.deps.Fleet.Since(theirs.Position)
	}
	switch {
	case known:
		state.Entries, state.Removed, state.Position = changes.Entries, changes.Removed, changes.Position
	case state.Digest != theirs.Digest:
		state.Entries, state.Complete = view.Entries(), true
	}
	if held := r.retainedConfiguration(); theirs.Version < held.version {
		if steps, found := changesFrom(held.changes, theirs.Version); found {
			state.Changes = steps
		} else {
			state.Configuration = held.compressed
		}
	}
	return state
}

// mergeState merges the state of a peer.
func (r *Registry) mergeState(theirs peerState, source string) {
	if len(theirs.Configuration)+len(theirs.Changes) > 0 && routing.Version(theirs.Version) > r.deps.Routes.Version() {
		r.applyPeerConfiguration(theirs, source)
	}
	for _, entry := range theirs.Entries {
		if err := entry.Validate(); err != nil {
			r.rejectedValues.Inc(1)
			r.deps.Log.WithError(err).WithField("source", source).Warn("entry refused")
			continue
		}
		r.mergeEntry(entry, source)
	}
	knowsAll := theirs.FleetKnown && (theirs.Complete || theirs.Digest == r.deps.Fleet.View().Digest())
	if knowsAll && !r.fleetKnown.Swap(true) {
		r.deps.Log.WithField("entries", len(theirs.Entries)).Info("fleet learned from a peer")
	}
}

// ServeHTTP answers a peer.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != PeerPath || request.Method != http.MethodPost {
		http.NotFound(w, request)
		return
	}
	theirs, err := decodeState(request.Body)
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Warn("state of a peer refused")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mergeState(theirs, "peer "+request.RemoteAddr)
	r.waitForUpdate(request, theirs)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.stateFor(theirs)); err != nil {
		r.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Info("state not sent to a peer")
	}
}

func decodeState(from io.Reader) (peerState, error) {
	var state peerState
	if err := json.NewDecoder(io.LimitReader(from, maxPeerStateBytes)).Decode(&state); err != nil {
		return peerState{}, errors.Wrap(err, "decode the state of a peer")
	}
	return state, nil
}
