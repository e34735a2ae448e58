package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
)

const (
	// storeReadDelay is how long a starting node waits for its peers before it
	// may read the store.
	storeReadDelay = 500 * time.Millisecond
	// storeReadSpread spreads the store reads of nodes that start at the same
	// time.
	storeReadSpread = 2 * time.Second
	// readinessInterval is how often a starting node checks whether it is
	// ready.
	readinessInterval = 20 * time.Millisecond
)

// readiness lets the node serve calls once it has the newest version in force.
type readiness struct {
	relay *Relay
	// ready is closed when the node may serve calls.
	ready chan struct{}

	mu    sync.Mutex
	state *readinessState
}

func newReadiness(relay *Relay) *readiness {
	return &readiness{relay: relay, ready: make(chan struct{}), state: newReadinessState(relay.options.Now())}
}

func (r *readiness) recordPeerVersion(node string, version uint64, isParent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.recordPeerVersion(node, version, isParent)
}

func (r *readiness) recordStoreVersion(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.recordStoreVersion(version)
}

// run waits until the node may serve calls. While the peers do not respond, it
// reads the store.
func (r *readiness) run(ctx context.Context) {
	random := r.relay.options.Random()
	readTimer := time.NewTimer(storeReadDelay + time.Duration(random*float64(storeReadSpread)))
	defer readTimer.Stop()
	checkTicker := time.NewTicker(readinessInterval)
	defer checkTicker.Stop()
	for !r.mayServe() {
		select {
		case <-ctx.Done():
			return
		case <-checkTicker.C:
		case <-readTimer.C:
			r.readStore(ctx)
			readTimer.Reset(withJitter(storeReadSpread, r.relay.options.Random()))
		}
	}
	close(r.ready)
	version := r.relay.options.Holder.Current().Version()
	r.relay.options.Logger.WithField("version", version).Info("serving calls")
	r.relay.options.Events.Record(event.Event{Kind: event.KindConfig, Subject: formatVersion(version), Message: "serving calls from version " + formatVersion(version)})
}

func (r *readiness) mayServe() bool {
	view := r.relay.options.View()
	otherNodes := len(exclude(aliveIDs(view, anyRecord), view.Self.ID))
	hasParents := len(r.relay.subscription.parents()) > 0
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.mayServe(r.relay.options.Holder.Current().Version(), otherNodes, hasParents, r.relay.options.Now())
}

func (r *readiness) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	r.relay.metrics.storeReads.Inc(1)
	value, err := r.relay.options.Store.Get(ctx, config.StoreKey)
	if err != nil {
		r.relay.metrics.storeFailures.Inc(1)
		return
	}
	if len(value.Data) > 0 {
		r.relay.applier.applyStored(value.Data)
	}
	// A stored document that the node rejects does not keep it from serving the
	// newest valid one.
	r.recordStoreVersion(r.relay.options.Holder.Current().Version())
}
