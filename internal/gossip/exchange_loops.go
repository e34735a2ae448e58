package gossip

import (
	"context"
	"strings"
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Prefixes of the keys of exchangeLoops.
const (
	nodeKeyPrefix   = "node "
	regionKeyPrefix = "region "
)

// exchangeLoops runs one exchangeLoop for each neighbour and, on a bridge, for each
// other region.
type exchangeLoops struct {
	exchanger *Exchanger
	group     sync.WaitGroup

	mu      sync.Mutex
	running map[string]*exchangeLoop
}

func newExchangeLoops(e *Exchanger) *exchangeLoops {
	return &exchangeLoops{exchanger: e, running: make(map[string]*exchangeLoop)}
}

// reconcile starts and stops loops to match the plan.
func (l *exchangeLoops) reconcile(ctx context.Context, plan *member.Plan) {
	targets := l.targets(plan)
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, loop := range l.running {
		if _, keep := targets[key]; !keep {
			loop.cancel()
			delete(l.running, key)
		}
	}
	for key, target := range targets {
		if _, exists := l.running[key]; !exists {
			l.start(ctx, key, target)
		}
	}
}

func (l *exchangeLoops) start(ctx context.Context, key string, target func(int) (member.Record, bool)) {
	ctx, cancel := context.WithCancel(ctx)
	loop := &exchangeLoop{exchanger: l.exchanger, target: target, pending: make(chan struct{}, 1), cancel: cancel}
	loop.interRegion = strings.HasPrefix(key, regionKeyPrefix)
	l.running[key] = loop
	loop.trigger()
	l.group.Go(func() { loop.run(ctx) })
}

// targets returns the target of each loop in the plan, by key. A neighbour with a
// new address gets a new loop.
func (l *exchangeLoops) targets(plan *member.Plan) map[string]func(int) (member.Record, bool) {
	targets := make(map[string]func(int) (member.Record, bool))
	for _, node := range plan.Neighbours {
		targets[nodeKeyPrefix+node.ID+" "+node.ControlAddress()] = func(int) (member.Record, bool) { return node, true }
	}
	for region := range plan.BridgeTargets {
		targets[regionKeyPrefix+region] = func(failures int) (member.Record, bool) {
			return l.bridgeTarget(region, failures)
		}
	}
	return targets
}

// bridgeTarget returns the node of another region to exchange with. Each failure
// selects the next node by rank, since all bridges known to this region may have
// been replaced while it could not be notified. It returns false when the region
// has no nodes.
func (l *exchangeLoops) bridgeTarget(region string, failures int) (member.Record, bool) {
	nodes := l.exchanger.deps.Table.Plan().BridgeTargets[region]
	if len(nodes) == 0 {
		return member.Record{}, false
	}
	return nodes[failures%len(nodes)], true
}

// triggerAll signals every loop that there may be changes to send.
func (l *exchangeLoops) triggerAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loop := range l.running {
		loop.trigger()
	}
}

// stop stops all loops and waits for them.
func (l *exchangeLoops) stop() {
	l.mu.Lock()
	for key, loop := range l.running {
		loop.cancel()
		delete(l.running, key)
	}
	l.mu.Unlock()
	l.group.Wait()
}
