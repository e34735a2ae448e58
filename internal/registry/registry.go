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

	// heard is when the store last answered this node or its leader, and answeredAt
	// when it last answered this node, in nanoseconds of the steady clock since started.
	heard      atomic.Int64
	answeredAt atomic.Int64
	started    time.Time
	// following is set while the node follows a leader.
	following atomic.Bool
	// listed is set once the fleet is known, from the store or from a peer.
	listed atomic.Bool
	// hinted is the newest version that a peer was seen to hold, and overdue is set
	// when it was newer than the own one at the last look of the peer loop.
	hinted  atomic.Uint64
	overdue bool
	// news wakes the followers' questions.
	news *notifier
	// run identifies this run to followers.
	run int64
	// distrusted is until when a leader is passed over; only the watch loop uses it.
	distrusted map[string]time.Time
	// hurry wakes the peer loop.
	hurry chan struct{}
	// changed wakes the lease loop.
	changed chan struct{}

	refused tally.Counter
	peers   tally.Counter
	lost    tally.Counter

	mu sync.Mutex
	// configuration is the newest configuration as the operators wrote it.
	configuration kept
	// own is the node's entry.
	own fleet.Entry
	// written is the newest own entry that the store has.
	written fleet.Entry
	// suspects are the nodes that could not be reached.
	suspects map[string]fleet.Entry
	// silent is set while the store does not answer, for the log.
	silent bool
}

// New returns a registry for a node whose entry begins as given.
func New(config Config, deps Deps, own fleet.Entry) (*Registry, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	scope := deps.Scope.SubScope("registry")
	deps.Fleet.Merge(own)
	return &Registry{
		config: config, deps: deps, own: own, started: deps.Now(), run: deps.Now().UnixNano(),
		hurry: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		news: newNotifier(), distrusted: make(map[string]time.Time), suspects: make(map[string]fleet.Entry),
		refused: scope.Counter("refused_values"), peers: scope.Counter("peer_questions"), lost: scope.Counter("store_lost"),
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
func (r *Registry) Ready() bool { return r.listed.Load() && r.deps.Routes.Load() != nil }

// UpdateLocalEntry changes the node's own entry and writes it to the store.
func (r *Registry) UpdateLocalEntry(change func(*fleet.Entry)) {
	r.mu.Lock()
	change(&r.own)
	r.own.Sequence++
	own := r.own
	r.mu.Unlock()
	r.deps.Fleet.Merge(own)
	r.news.notify()
	wake(r.changed)
}

// LocalEntry returns the node's own entry.
func (r *Registry) LocalEntry() fleet.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// ReportNewerVersion notes that a peer holds a newer configuration.
func (r *Registry) ReportNewerVersion(version routing.Version) {
	for {
		known := r.hinted.Load()
		if known >= uint64(version) || r.hinted.CompareAndSwap(known, uint64(version)) {
			return
		}
	}
}

// Suspect has a node asked until it answers.
func (r *Registry) Suspect(entry fleet.Entry) {
	r.mu.Lock()
	r.suspects[entry.Node] = entry
	r.mu.Unlock()
	wake(r.hurry)
}

// applyConfiguration publishes a configuration when it is valid and newer, and
// reports whether it was valid.
func (r *Registry) applyConfiguration(raw []byte, source string) bool {
	table, err := r.deps.Decode(raw)
	if err != nil {
		r.refused.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("configuration refused; the previous one stays in force")
		return false
	}
	previous := r.deps.Routes.Version()
	if !r.deps.Routes.Publish(table) {
		return true
	}
	r.keepConfiguration(uint64(table.Version()), raw)
	r.news.notify()
	r.deps.Log.WithFields(map[string]any{
		"version": uint64(table.Version()), "previous": uint64(previous), "routes": table.RouteCount(), "source": source,
	}).Info("configuration in force")
	return true
}

// keepConfiguration keeps what is in force for peers.
func (r *Registry) keepConfiguration(version uint64, raw []byte) {
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

// keptConfiguration returns what peers may ask for.
func (r *Registry) keptConfiguration() kept {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration
}

// applyPeer publishes the configuration of a peer.
func (r *Registry) applyPeer(theirs peerState, source string) {
	var raw []byte
	var err error
	if len(theirs.Changes) > 0 {
		raw, err = r.keptConfiguration().follow(theirs.Changes)
	} else {
		raw, err = unpack(theirs.Configuration)
	}
	if err != nil {
		r.refused.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("configuration refused; the previous one stays in force")
		return
	}
	r.applyConfiguration(raw, source)
}

// applyEntry merges an entry of the store or of a peer.
func (r *Registry) applyEntry(raw []byte, source string) {
	entry, err := fleet.Decode(raw)
	if err != nil {
		r.refused.Inc(1)
		r.deps.Log.WithError(err).WithField("source", source).Warn("entry refused")
		return
	}
	r.mergeEntry(entry, source)
}

func (r *Registry) mergeEntry(entry fleet.Entry, source string) {
	if entry.Node == r.LocalEntry().Node {
		r.overtake(entry)
		return
	}
	if r.deps.Fleet.Merge(entry) {
		r.news.notify()
		r.deps.Log.WithFields(map[string]any{
			"peer": entry.Node, "peer_server": entry.Server, "state": entry.State, "service": entry.Service,
			"domain": entry.Domain, "incarnation": entry.Incarnation, "sequence": entry.Sequence, "source": source,
		}).Info("fleet entry changed")
	}
}

// overtake gives the own entry a higher incarnation than one that an earlier
// process at this place left, whose clock may have been ahead.
func (r *Registry) overtake(earlier fleet.Entry) {
	r.mu.Lock()
	behind := earlier.Incarnation > r.own.Incarnation
	if behind {
		r.own.Incarnation = earlier.Incarnation + 1
	}
	own := r.own
	r.mu.Unlock()
	if behind {
		r.deps.Fleet.Merge(own)
		wake(r.changed)
	}
}

// nodeOf returns the node whose entry a key holds.
func (r *Registry) nodeOf(key string) (string, bool) {
	return strings.CutPrefix(key, r.config.EntriesPrefix)
}

// answered notes that the store answered this node.
func (r *Registry) answered() {
	r.answeredAt.Store(int64(r.deps.Now().Sub(r.started)))
	r.leaderAnswered()
	r.mu.Lock()
	was := r.silent
	r.silent = false
	r.mu.Unlock()
	if was {
		r.deps.Log.Info("store answers again")
	}
}

// leaderAnswered notes that the store answers this node's leader.
func (r *Registry) leaderAnswered() { r.heard.Store(int64(r.deps.Now().Sub(r.started))) }

// failed notes that the store did not answer.
func (r *Registry) failed(call string, err error) {
	r.lost.Inc(1)
	r.mu.Lock()
	was := r.silent
	r.silent = true
	r.mu.Unlock()
	if !was {
		r.deps.Log.WithError(err).WithField("call", call).Warn("store does not answer")
	}
}

// silence returns how long the store has answered neither this node nor its leader.
func (r *Registry) silence() time.Duration {
	return r.deps.Now().Sub(r.started) - time.Duration(r.heard.Load())
}

// isCut reports whether the store does not answer this node itself. Only a node that
// keeps an entry asks it all the time.
func (r *Registry) isCut() bool {
	silent := r.deps.Now().Sub(r.started) - time.Duration(r.answeredAt.Load())
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
