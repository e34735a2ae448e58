package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
)

const (
	// peersFirst is how long a starting node gives its peers before it may read
	// the store.
	peersFirst = 500 * time.Millisecond
	// startSpread spreads the store reads of nodes that start together.
	startSpread = 2 * time.Second
	// readinessInterval is how often a starting node decides anew.
	readinessInterval = 20 * time.Millisecond
)

// readiness opens the node for calls once it knows the newest version.
type readiness struct {
	relay *Relay
	// done is closed when the node may serve.
	done chan struct{}

	mu    sync.Mutex
	state *readinessState
}

func newReadiness(relay *Relay) *readiness {
	return &readiness{relay: relay, done: make(chan struct{}), state: newReadinessState(relay.options.Now())}
}

func (r *readiness) peerNamed(node string, version uint64, parent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.peerNamed(node, version, parent)
}

func (r *readiness) storeNamed(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.storeNamed(version)
}

// run waits until the node may serve. While the peers do not answer it reads
// the store.
func (r *readiness) run(ctx context.Context) {
	random := r.relay.options.Random()
	read := time.NewTimer(peersFirst + time.Duration(random*float64(startSpread)))
	defer read.Stop()
	decide := time.NewTicker(readinessInterval)
	defer decide.Stop()
	for !r.mayServe() {
		select {
		case <-ctx.Done():
			return
		case <-decide.C:
		case <-read.C:
			r.readStore(ctx)
			read.Reset(around(startSpread, r.relay.options.Random()))
		}
	}
	close(r.done)
	version := r.relay.options.Holder.Current().Version()
	r.relay.options.Logger.WithField("version", version).Info("serving calls")
	r.relay.options.Events.Record(event.Event{Kind: event.KindConfig, Subject: versionText(version), Message: "serving calls from version " + versionText(version)})
}

func (r *readiness) mayServe() bool {
	view := r.relay.options.View()
	others := len(without(aliveIDs(view, anyRecord), view.Self.ID))
	hasParents := len(r.relay.subscription.parents()) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.mayServe(r.relay.options.Holder.Current().Version(), others, hasParents, r.relay.options.Now())
}

func (r *readiness) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	r.relay.counters.storeReads.Inc(1)
	value, err := r.relay.options.Store.Get(ctx, config.StoreKey)
	if err != nil {
		r.relay.counters.storeFailures.Inc(1)
		return
	}
	if len(value.Data) > 0 {
		r.relay.inbox.acceptStored(value.Data)
	}
	// A stored document that the node refuses does not keep it from serving the
	// newest acceptable one.
	r.storeNamed(r.relay.options.Holder.Current().Version())
}
