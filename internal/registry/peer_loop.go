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
	// maxPeerBytes bounds what a peer may send: the largest configuration of the
	// store in base64, and the entries.
	maxPeerBytes = 4 << 20
)

// peerLoop asks peers while the store is silent, when one holds a newer
// configuration, and those that could not be reached.
func (r *Registry) peerLoop(ctx context.Context) {
	for r.waitForHurry(ctx) {
		for _, entry := range r.takeSuspects() {
			if r.ask(ctx, entry) {
				r.deps.OnReached(entry.Node)
			} else {
				r.keepSuspect(entry)
			}
		}
		if entry, found := r.pickPeer(); found && (r.silence() > r.config.PeerAfter || r.isBehind()) {
			r.ask(ctx, entry)
		}
		r.expireWhileSilent()
	}
}

// isBehind reports whether a peer has held a newer configuration for a whole
// interval, in which the store's watch should have brought it.
func (r *Registry) isBehind() bool {
	behind := r.hinted.Load() > uint64(r.deps.Routes.Version())
	overdue := behind && r.overdue
	r.overdue = behind
	return overdue
}

// waitForHurry waits for the interval, or for less when there is a reason.
func (r *Registry) waitForHurry(ctx context.Context) bool {
	if !pause(ctx, r.config.PeerInterval/2) {
		return false
	}
	timer := time.NewTimer(r.config.PeerInterval / 2)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.hurry:
		return true
	case <-ctx.Done():
		return false
	}
}

// expireWhileSilent keeps entries that lapsed just before the store went away
// from staying forever; without events of the store nothing new lapses.
func (r *Registry) expireWhileSilent() {
	if r.silence() < r.config.PeerAfter {
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

// keepSuspect asks a node again later, while it belongs to the fleet.
func (r *Registry) keepSuspect(entry fleet.Entry) {
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

// ask exchanges states with a node and reports whether it answered. A node with
// an older configuration gets this one's.
func (r *Registry) ask(ctx context.Context, entry fleet.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.PeerTimeout)
	defer cancel()
	r.peers.Inc(1)
	view := r.deps.Fleet.View()
	question := peerState{
		Version: uint64(r.deps.Routes.Version()), Digest: view.Digest(), Entries: []fleet.Entry{r.LocalEntry()},
		SilentMs: r.silence().Milliseconds(), Listed: r.listed.Load(),
	}
	theirs, err := r.exchange(ctx, r.deps.PeerClient, entry, question)
	if err != nil {
		return false
	}
	r.takeOver(theirs, "peer "+entry.Node)
	if routing.Version(theirs.Version) < r.deps.Routes.Version() {
		if _, err := r.exchange(ctx, r.deps.PeerClient, entry, r.state(theirs)); err != nil {
			r.deps.Log.WithError(err).WithField("peer", entry.Node).Info("configuration not passed on")
		}
	}
	return true
}

// exchange sends a state and returns that of the node.
func (r *Registry) exchange(ctx context.Context, client *http.Client, entry fleet.Entry, ours peerState) (peerState, error) {
	encoded, err := json.Marshal(ours)
	if err != nil {
		return peerState{}, errors.Wrap(err, "encode the own state")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.InboundAddress+PeerPath, bytes.NewReader(encoded))
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

// state returns the own state for a node: the configuration when it holds an older
// one, the entries when it holds others.
func (r *Registry) state(theirs peerState) peerState {
	view := r.deps.Fleet.View()
	state := peerState{
		Version: uint64(r.deps.Routes.Version()), Digest: view.Digest(), SilentMs: r.silence().Milliseconds(),
		Run: r.run, Position: view.Position(), Listed: r.listed.Load(),
	}
	changes, known := fleet.Changes{}, false
	if theirs.Run == r.run {
		changes, known = r.deps.Fleet.ChangesSince(theirs.Position)
	}
	switch {
	case known:
		state.Entries, state.Removed, state.Position = changes.Entries, changes.Removed, changes.Position
	case state.Digest != theirs.Digest:
		state.Entries, state.Whole = view.Entries(), true
	}
	if held := r.keptConfiguration(); theirs.Version < held.version {
		if steps, found := changesFrom(held.changes, theirs.Version); found {
			state.Changes = steps
		} else {
			state.Configuration = held.packed
		}
	}
	return state
}

// takeOver merges the state of a peer.
func (r *Registry) takeOver(theirs peerState, source string) {
	if len(theirs.Configuration)+len(theirs.Changes) > 0 && routing.Version(theirs.Version) > r.deps.Routes.Version() {
		r.applyPeer(theirs, source)
	}
	for _, entry := range theirs.Entries {
		if err := entry.Validate(); err != nil {
			r.refused.Inc(1)
			r.deps.Log.WithError(err).WithField("source", source).Warn("entry refused")
			continue
		}
		r.mergeEntry(entry, source)
	}
	knowsAll := theirs.Listed && (theirs.Whole || theirs.Digest == r.deps.Fleet.View().Digest())
	if knowsAll && !r.listed.Swap(true) {
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
		r.refused.Inc(1)
		r.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Warn("state of a peer refused")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.takeOver(theirs, "peer "+request.RemoteAddr)
	r.waitForNews(request, theirs)
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.state(theirs)); err != nil {
		r.deps.Log.WithError(err).WithField("peer", request.RemoteAddr).Info("state not sent to a peer")
	}
}

func decodeState(from io.Reader) (peerState, error) {
	var state peerState
	if err := json.NewDecoder(io.LimitReader(from, maxPeerBytes)).Decode(&state); err != nil {
		return peerState{}, errors.Wrap(err, "decode the state of a peer")
	}
	return state, nil
}
