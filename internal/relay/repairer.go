package relay

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// repairer fetches newer versions from nodes that named them.
type repairer struct {
	relay *Relay
	// wake asks for a new decision.
	wake chan struct{}

	mu    sync.Mutex
	state *repairState
}

func newRepairer(relay *Relay) *repairer {
	return &repairer{relay: relay, wake: make(chan struct{}, 1), state: newRepairState()}
}

// observe takes the digest of a neighbour or the parent. The tree gets the time
// of a batch to bring the version first.
func (r *repairer) observe(node string, digest config.Digest) {
	delay := repairDelay
	if r.relay.inOtherRegion(node) {
		delay = farRepairDelay
	}
	r.note(node, digest, delay+r.relay.options.BatchDelay)
	held := r.relay.options.Holder.Current().Digest()
	if digest.Version == held.Version && digest.Hash != held.Hash {
		r.relay.reportMismatch(node, digest, held)
	}
}

// childAhead takes the digest of a child that holds a newer version, because an
// operator's change came in there. It is fetched at once.
func (r *repairer) childAhead(node string, digest config.Digest) {
	r.note(node, digest, r.relay.options.BatchDelay)
}

func (r *repairer) note(node string, digest config.Digest, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.relay.options.Holder.Current().Digest()
	if !r.state.observe(node, digest, held, delay, r.relay.options.Now()) {
		r.relay.counters.limits.Inc(1)
	}
	if digest.Version <= held.Version {
		return
	}
	r.relay.inbox.heardOf(digest.Version)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run fetches from one node after the other while the node is behind.
func (r *repairer) run(ctx context.Context) {
	for ctx.Err() == nil {
		node, wait := r.decide()
		if node != "" {
			r.repair(ctx, node)
			continue
		}
		r.wait(ctx, wait)
	}
}

func (r *repairer) decide() (string, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.relay.options.Holder.Current().Digest()
	return r.state.decide(held, r.relay.inbox.refusedDigest(), r.relay.options.Now())
}

// wait returns after the time, or when a node is seen ahead; 0 waits for that
// only.
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
		r.failed(node)
		return
	}
	r.relay.counters.repairs.Inc(1)
	r.relay.options.Events.Record(event.Event{
		Kind: event.KindRepair, Subject: versionText(after),
		Message: "fetched version " + versionText(after) + " from node " + node + ", which was ahead of version " + versionText(before),
	})
}

func (r *repairer) fetch(ctx context.Context, node string) error {
	conn, err := r.relay.connections.shared(node)
	if err != nil {
		return err
	}
	return r.relay.fetch(ctx, controlpb.NewDistributionClient(conn), node, false)
}

func (r *repairer) failed(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.failed(node, r.relay.options.Now())
}
