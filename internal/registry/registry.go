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
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// Registry runs the loops that keep a node and the store in sync. It is safe for
// concurrent use.
type Registry struct {
	config Config
	deps   Deps

	// lastContact is when the store last responded to this node or to its leader, and
	// lastDirectContact when it last responded to this node itself, both in
	// nanoseconds on the monotonic clock since startedAt.
	lastContact       atomic.Int64
	lastDirectContact atomic.Int64
	startedAt         time.Time
	// lastNews is when the store, or a leader in contact with it, last told this node what
	// is new, in nanoseconds since startedAt.
	lastNews atomic.Int64
	// configurationRevision is the store.Revision of the newest configuration that this
	// node has got from the store or from a peer; 0 while it is not known.
	configurationRevision atomic.Uint64
	// wasConfirmed is whether the confirmation was valid when it was last reported. Only the
	// confirm loop uses it.
	wasConfirmed bool
	// following is set while the node follows a leader.
	following atomic.Bool
	// leaderDisconnected is set while the store does not respond to the leader either.
	leaderDisconnected atomic.Bool
	// entryLapsed is set when a leader has told that the local entry has left the store,
	// until the entry is written again.
	entryLapsed atomic.Bool
	// fleetKnown is set once the fleet is known, from the store or from a peer.
	fleetKnown atomic.Bool
	// newestPeerVersion is the newest configuration version reported by a peer.
	// peerVersionOverdue is set when the last pass of the peer loop found it newer
	// than the local one.
	newestPeerVersion  atomic.Uint64
	peerVersionOverdue bool
	// changesFailed is set when the changes that a peer sent did not apply, so that the
	// next query asks for the complete configuration.
	changesFailed atomic.Bool
	// exchanged is set once a peer has responded with its state.
	exchanged atomic.Bool
	// left ends when the node deletes its entry, and leave ends it.
	left  context.Context
	leave context.CancelFunc
	// ended is closed when Run returns.
	ended chan struct{}
	// lease is the lease of the local entry; 0 while there is none. Only the lease loop
	// uses it until Run returns.
	lease store.LeaseID
	// noted is the latest departure of which the store has a note. Only the lease loop uses
	// it.
	noted leavingNote
	// updates wakes the pending long polls of followers.
	updates *notifier
	// runID identifies this run of the process to followers.
	runID int64
	// leaderCooldownUntil is the time until which a failed leader is skipped, by
	// node. Only the watch loop uses it.
	leaderCooldownUntil map[string]time.Time
	// awaitedFleet is set once the node has waited for the entries of others after its
	// start. Only the watch loop uses it.
	awaitedFleet bool
	// listedEpoch is the epoch of the store in which the fleet was last listed, and
	// relistAt, unless zero, when it is listed again because the first list of that
	// epoch may have held entries of nodes that had left. Only the watch loop uses them.
	listedEpoch store.Epoch
	relistAt    time.Time
	// askedPeer is set once a node that starts as a reader has queried a peer. Only the
	// watch loop uses it.
	askedPeer bool
	// confirmedAt is when the store was last asked whether it responds to this node,
	// because it did not respond to the leader. Only the watch loop uses it.
	confirmedAt time.Time
	// upstreamCache is used by the watch loop only.
	upstreamCache upstreamCache
	// peerTrigger wakes the peer loop.
	peerTrigger chan struct{}
	// localChanged wakes the lease loop.
	localChanged chan struct{}

	rejectedValues tally.Counter
	// outdatedChanges counts the changes of the configuration that came from a peer after
	// another one had delivered newer ones.
	outdatedChanges tally.Counter
	peerRequests    tally.Counter
	storeFailures   tally.Counter
	// confirmationAge is the age of the confirmation of the configuration, in milliseconds.
	confirmationAge tally.Gauge

	mu sync.Mutex
	// configuration holds the newest configuration as the operators wrote it.
	configuration configurationHistory
	// local is the entry of this node.
	local fleet.Entry
	// stored is the newest version of the local entry that the store has, and losses counts
	// how often the store was found to have lost it.
	stored fleet.Entry
	losses int
	// suspects are the nodes that could not be reached, by node.
	suspects map[string]fleet.Entry
	// storeUnresponsive is set while calls to the store fail, so that only the start
	// and the end of an outage are logged.
	storeUnresponsive bool
}

// New returns a registry for a node with the given initial entry.
func New(config Config, deps Deps, local fleet.Entry) (*Registry, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	scope := deps.Scope.SubScope("registry")
	deps.Fleet.Merge(local)
	left, leave := context.WithCancel(context.Background())
	return &Registry{
		left: left, leave: leave, ended: make(chan struct{}),
		config: config, deps: deps, local: local, startedAt: deps.Now(), runID: deps.Now().UnixNano(),
		peerTrigger: make(chan struct{}, 1), localChanged: make(chan struct{}, 1),
		updates: newNotifier(), leaderCooldownUntil: make(map[string]time.Time), suspects: make(map[string]fleet.Entry),
		rejectedValues: scope.Counter("refused_values"), outdatedChanges: scope.Counter("outdated_changes"),
		peerRequests: scope.Counter("peer_questions"), storeFailures: scope.Counter("store_lost"),
		confirmationAge: scope.Gauge("confirmation_age_ms"),
	}, nil
}

// Run keeps the view and the entry current until the context ends or DeleteLocalEntry is
// called. It is called once.
func (r *Registry) Run(ctx context.Context) {
	defer close(r.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.left, cancel)()
	var loops sync.WaitGroup
	loops.Go(func() { r.watchLoop(ctx) })
	loops.Go(func() { r.leaseLoop(ctx) })
	loops.Go(func() { r.peerLoop(ctx) })
	loops.Go(func() { r.confirmLoop(ctx) })
	loops.Wait()
}

// Ready reports whether both the configuration and the fleet are known.
func (r *Registry) Ready() bool { return r.fleetKnown.Load() && r.deps.Routes.Load() != nil }

// UpdateLocalEntry changes the entry of this node and has it written to the store.
func (r *Registry) UpdateLocalEntry(change func(*fleet.Entry)) {
	r.mu.Lock()
	change(&r.local)
	r.local.Sequence++
	local := r.local
	r.mu.Unlock()
	r.deps.Fleet.Merge(local)
	r.updates.notify()
	wake(r.localChanged)
}

// LocalEntry returns the entry of this node.
func (r *Registry) LocalEntry() fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local
}

// ReportNewerVersion records that a peer has a newer configuration.
func (r *Registry) ReportNewerVersion(version routing.Version) {
	for {
		newest := r.newestPeerVersion.Load()
		if newest >= uint64(version) || r.newestPeerVersion.CompareAndSwap(newest, uint64(version)) {
			return
		}
	}
}

// Suspect has a node queried until it responds or leaves the fleet.
func (r *Registry) Suspect(entry fleet.Entry) {
	r.mu.Lock()
	r.suspects[entry.Node] = entry
	r.mu.Unlock()
	wake(r.peerTrigger)
}

// nodeFromKey returns the node whose entry is stored under a key, and whether the key
// is that of an entry.
func (r *Registry) nodeFromKey(key string) (string, bool) {
	if isLeavingNote(key) {
		return "", false
	}
	return strings.CutPrefix(key, r.config.EntriesPrefix)
}

// recordStoreResponse records that the store responded to this node.
func (r *Registry) recordStoreResponse() {
	r.lastDirectContact.Store(int64(r.deps.Now().Sub(r.startedAt)))
	r.recordContact()
	r.mu.Lock()
	wasUnresponsive := r.storeUnresponsive
	r.storeUnresponsive = false
	r.mu.Unlock()
	if wasUnresponsive {
		r.deps.Log.Info("store answers again")
	}
}

// recordContact records that the store responded to this node or to its leader.
func (r *Registry) recordContact() { r.lastContact.Store(int64(r.deps.Now().Sub(r.startedAt))) }

// recordStoreFailure records that a call to the store failed. Only the first failure
// of an outage is logged.
func (r *Registry) recordStoreFailure(call string, err error) {
	r.storeFailures.Inc(1)
	r.mu.Lock()
	wasUnresponsive := r.storeUnresponsive
	r.storeUnresponsive = true
	r.mu.Unlock()
	if !wasUnresponsive {
		r.deps.Log.WithError(err).WithField("call", call).Warn("store does not answer")
	}
}

// sinceContact returns the time since the store last responded to this node or to its
// leader.
func (r *Registry) sinceContact() time.Duration {
	return r.deps.Now().Sub(r.startedAt) - time.Duration(r.lastContact.Load())
}

// isDisconnected reports whether the store does not respond to this node itself. It
// is always false for a node without a server: only a node that keeps an entry calls
// the store regularly.
func (r *Registry) isDisconnected() bool {
	elapsed := r.deps.Now().Sub(r.startedAt) - time.Duration(r.lastDirectContact.Load())
	return r.LocalEntry().Server != "" && elapsed > r.config.PeerAfter
}

// wake sends to a channel of capacity 1 without blocking; a pending signal is enough.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d. It returns false when the context ends first.
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
