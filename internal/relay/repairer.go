package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// repairer fetches newer versions from nodes that reported them.
type repairer struct {
	relay *Relay
	// wake triggers a new decision.
	wake chan struct{}

	mu    sync.Mutex
	state *repairState
}

func newRepairer(relay *Relay) *repairer {
	return &repairer{relay: relay, wake: make(chan struct{}, 1), state: newRepairState()}
}

// observe records the digest of a neighbour or the parent. The repair waits for
// the batch delay as well, so that the tree can deliver the version first.
func (r *repairer) observe(node string, digest config.Digest) {
	delay := repairDelay
	if r.relay.inOtherRegion(node) {
		delay = remoteRepairDelay
	}
	r.record(node, digest, delay+r.relay.options.BatchDelay)
	held := r.relay.options.Holder.Current().Digest()
	if digest.Version == held.Version && digest.Hash != held.Hash {
		r.relay.reportMismatch(node, digest, held)
	}
}

// observeChild records the digest of a child that holds a newer version,
// because a change of an operator was accepted there. It is fetched without the
// repair delay.
func (r *repairer) observeChild(node string, digest config.Digest) {
	r.record(node, digest, r.relay.options.BatchDelay)
}

func (r *repairer) record(node string, digest config.Digest, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.relay.options.Holder.Current().Digest()
	if !r.state.observe(node, digest, held, delay, r.relay.options.Now()) {
		r.relay.metrics.limitsReached.Inc(1)
	}
	if digest.Version <= held.Version {
		return
	}
	r.relay.applier.recordVersion(digest.Version)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run fetches from one node after another while this node is behind.
func (r *repairer) run(ctx context.Context) {
	for ctx.Err() == nil {
		node, wait := r.next()
		if node != "" {
			r.repair(ctx, node)
			continue
		}
		r.wait(ctx, wait)
	}
}

func (r *repairer) next() (string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.relay.options.Holder.Current().Digest()
	return r.state.next(held, r.relay.applier.rejectedDigest(), r.relay.options.Now())
}

// wait returns after the given time, or earlier when a node is seen ahead; 0
// waits without a time limit.
func (r *repairer) wait(ctx context.Context, wait time.Duration) {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timeout:
	}
}

func (r *repairer) repair(ctx context.Context, node string) {
	before := r.relay.options.Holder.Current().Version()
	err := r.fetch(ctx, node)
	after := r.relay.options.Holder.Current().Version()
	if err != nil || after == before {
		r.recordFailure(node)
		return
	}
	r.relay.metrics.repairs.Inc(1)
	r.relay.options.Events.Record(event.Event{
		Kind: event.KindRepair, Subject: formatVersion(after),
		Message: "fetched version " + formatVersion(after) + " from node " + node + ", which was ahead of version " + formatVersion(before),
	})
}

func (r *repairer) fetch(ctx context.Context, node string) error {
	conn, release, err := r.relay.connections.shared(node)
	if err != nil {
		return err
	}
	defer release()
	return r.relay.fetch(ctx, controlpb.NewDistributionClient(conn), node, false)
}

func (r *repairer) recordFailure(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.recordFailure(node, r.relay.options.Now())
}
