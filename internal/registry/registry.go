package registry

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Registry runs the loops. Its methods are safe for concurrent use.
type Registry struct {
	config Config
	deps   Deps

	// lastContact is when the store last answered this node or its leader, and answeredAt
	// when it last answered this node, in nanoseconds of the steady clock since started.
	lastContact       atomic.Int64
	lastDirectContact atomic.Int64
	startedAt         time.Time
	// following is set while the node follows a leader.
	following atomic.Bool
	// fleetKnown is set once the fleet is known, from the store or from a peer.
	fleetKnown atomic.Bool
	// newestPeerVersion is the newest version that a peer was seen to hold, and overdue is set
	// when it was newer than the own one at the last look of the peer loop.
	newestPeerVersion  atomic.Uint64
	peerVersionOverdue bool
	// updates wakes the followers' questions.
	updates *notifier
	// runID identifies this runID to followers.
	runID int64
	// leaderCooldownUntil is until when a leader is passed over; only the watch loop uses it.
	leaderCooldownUntil map[string]time.Time
	// peerTrigger wakes the peer loop.
	peerTrigger chan struct{}
	// localChanged wakes the lease loop.
	localChanged chan struct{}

	rejectedValues tally.Counter
	peerRequests   tally.Counter
	storeFailures  tally.Counter

	mu sync.Mutex
	// configuration is the newest configuration as the operators wrote it.
	configuration configurationHistory
	// local is the node's entry.
	local fleet.Entry
	// stored is the newest own entry that the store has.
	stored fleet.Entry
	// suspects are the nodes that could not be reached.
	suspects map[string]fleet.Entry
	// storeUnresponsive is set while the store does not answer, for the log.
	storeUnresponsive bool
}

// New returns a registry for a node whose entry begins as given.
func New(config Config, deps Deps, own fleet.Entry) (*Registry, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	scope := deps.Scope.SubScope("registry")
	deps.Fleet.Merge(own)
	return &Registry{
		config: config, deps: deps, local: own, startedAt: deps.Now(), runID: deps.Now().UnixNano(),
		peerTrigger: make(chan struct{}, 1), localChanged: make(chan struct{}, 1),
		updates: newNotifier(), leaderCooldownUntil: make(map[string]time.Time), suspects: make(map[string]fleet.Entry),
		rejectedValues: scope.Counter("refused_values"), peerRequests: scope.Counter("peer_questions"), storeFailures: scope.Counter("store_lost"),
	}, nil
}

// Run keeps the picture current until the context ends.
func (r *Registry) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.watchLoop(ctx) })
	loops.Go(func() { r.leaseLoop(ctx) })
	loops.Go(func() { r.peerLoop(ctx) })
	loops.Wait()
}

// Ready reports whether configuration and fleet are known.
func (r *Registry) Ready() bool { return r.fleetKnown.Load() && r.deps.Routes.Load() != nil }

// UpdateLocalEntry changes the node's own entry and writes it to the store.
func (r *Registry) UpdateLocalEntry(change func(*fleet.Entry)) {
	r.mu.Lock()
	change(&r.local)
	r.local.Sequence++
	own := r.local
	r.mu.Unlock()
	r.deps.Fleet.Merge(own)
	r.updates.notify()
	wake(r.localChanged)
}

// LocalEntry returns the node's own entry.
func (r *Registry) LocalEntry() fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local
}

// ReportNewerVersion notes that a peer holds a newer configuration.
func (r *Registry) ReportNewerVersion(version routing.Version) {
	for {
		known := r.newestPeerVersion.Load()
		if known >= uint64(version) || r.newestPeerVersion.CompareAndSwap(known, uint64(version)) {
			return
		}
	}
}

// Suspect has a node asked until it answers.
func (r *Registry) Suspect(entry fleet.Entry) {
	r.mu.Lock()
	r.suspects[entry.Node] = entry
	r.mu.Unlock()
	wake(r.peerTrigger)
}

// applyConfiguration publishes a configuration when it is valid and newer, and
// reports whether it was valid.
func (r *Registry) applyConfiguration(raw []byte, source string) bool {
	table, err := r.deps.Decode(raw)
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("configuration refused; the previous one stays in force")
		return false
	}
	previous := r.deps.Routes.Version()
	if !r.deps.Routes.Publish(table) {
		return true
	}
	r.retainConfiguration(uint64(table.Version()), raw)
	r.updates.notify()
	r.deps.Log.WithFields(map[string]any{
		"version": uint64(table.Version()), "previous": uint64(previous), "routes": table.Routes(), "source": source,
	}).Info("configuration in force")
	return true
}

// retainConfiguration keeps what is in force for peers.
func (r *Registry) retainConfiguration(version uint64, raw []byte) {
	r.mu.Lock()
	held := r.configuration
	r.mu.Unlock()
	next, err := held.advance(version, raw)
	if err != nil {
		// Peers ask another node; this one has the configuration in force.
		r.deps.Log.WithError(err).Warn("configuration not kept for peers")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.configuration.version {
		r.configuration = next
	}
}

// retainedConfiguration returns what peers may ask for.
func (r *Registry) retainedConfiguration() configurationHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration
}

// applyPeerConfiguration publishes the configuration of a peer.
func (r *Registry) applyPeerConfiguration(theirs peerState, source string) {
	var raw []byte
	var err error
	if len(theirs.Changes) > 0 {
		raw, err = r.retainedConfiguration().applyChanges(theirs.Changes)
	} else {
		raw, err = decompress(theirs.Configuration)
	}
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("configuration refused; the previous one stays in force")
		return
	}
	r.applyConfiguration(raw, source)
}

// applyEntry merges an entry of the store or of a peer.
func (r *Registry) applyEntry(raw []byte, source string) {
	entry, err := fleet.Decode(raw)
	if err != nil {
		r.rejectedValues.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("entry refused")
		return
	}
	r.mergeEntry(entry, source)
}

func (r *Registry) mergeEntry(entry fleet.Entry, source string) {
	if entry.Node == r.LocalEntry().Node {
		r.raiseIncarnation(entry)
		return
	}
	if r.deps.Fleet.Merge(entry) {
		r.updates.notify()
		r.deps.Log.WithFields(map[string]any{
			"peer": entry.Node, "peer_server": entry.Server, "state": entry.State, "service": entry.Service,
			"domain": entry.Domain, "incarnation": entry.Incarnation, "sequence": entry.Sequence, "source": source,
		}).Info("fleet entry changed")
	}
}

// raiseIncarnation gives the own entry a higher incarnation than one that an earlier
// process at this place left, whose clock may have been ahead.
func (r *Registry) raiseIncarnation(earlier fleet.Entry) {
	r.mu.Lock()
	behind := earlier.Incarnation > r.local.Incarnation
	if behind {
		r.local.Incarnation = earlier.Incarnation + 1
	}
	own := r.local
	r.mu.Unlock()
	if behind {
		r.deps.Fleet.Merge(own)
		wake(r.localChanged)
	}
}

// nodeFromKey returns the node whose entry a key holds.
func (r *Registry) nodeFromKey(key string) (string, bool) {
	return strings.CutPrefix(key, r.config.EntriesPrefix)
}

// recordStoreResponse notes that the store recordStoreResponse this node.
func (r *Registry) recordStoreResponse() {
	r.lastDirectContact.Store(int64(r.deps.Now().Sub(r.startedAt)))
	r.recordLeaderContact()
	r.mu.Lock()
	was := r.storeUnresponsive
	r.storeUnresponsive = false
	r.mu.Unlock()
	if was {
		r.deps.Log.Info("store answers again")
	}
}

// recordLeaderContact notes that the store answers this node's leader.
func (r *Registry) recordLeaderContact() { r.lastContact.Store(int64(r.deps.Now().Sub(r.startedAt))) }

// recordStoreFailure notes that the store did not answer.
func (r *Registry) recordStoreFailure(call string, err error) {
	r.storeFailures.Inc(1)
	r.mu.Lock()
	was := r.storeUnresponsive
	r.storeUnresponsive = true
	r.mu.Unlock()
	if !was {
		r.deps.Log.WithError(err).WithField("call", call).Warn("store does not answer")
	}
}

// sinceContact returns how long the store has answered neither this node nor its leader.
func (r *Registry) sinceContact() time.Duration {
	return r.deps.Now().Sub(r.startedAt) - time.Duration(r.lastContact.Load())
}

// isDisconnected reports whether the store does not answer this node itself. Only a node that
// keeps an entry asks it all the time.
func (r *Registry) isDisconnected() bool {
	silent := r.deps.Now().Sub(r.startedAt) - time.Duration(r.lastDirectContact.Load())
	return r.LocalEntry().Server != "" && silent > r.config.PeerAfter
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits; false when the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
