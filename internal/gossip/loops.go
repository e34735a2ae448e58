package gossip

import (
	"context"
	"strings"
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Prefixes of the keys of loops.
const (
	nodeKey   = "node "
	regionKey = "region "
)

// loops runs one loop for each neighbour and, on a bridge, for each other region.
type loops struct {
	exchanger *Exchanger
	group     sync.WaitGroup

	mu      sync.Mutex
	running map[string]*loop
}

func newLoops(e *Exchanger) *loops {
	return &loops{exchanger: e, running: make(map[string]*loop)}
}

// follow starts and stops loops so that they match the plan.
func (l *loops) follow(ctx context.Context, plan *member.Plan) {
	wanted := l.wanted(plan)
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, running := range l.running {
		if _, keep := wanted[key]; !keep {
			running.cancel()
			delete(l.running, key)
		}
	}
	for key, target := range wanted {
		if _, exists := l.running[key]; !exists {
			l.start(ctx, key, target)
		}
	}
}

func (l *loops) start(ctx context.Context, key string, target func(int) (member.Record, bool)) {
	ctx, cancel := context.WithCancel(ctx)
	started := &loop{exchanger: l.exchanger, target: target, wake: make(chan struct{}, 1), cancel: cancel}
	started.crossing = strings.HasPrefix(key, regionKey)
	l.running[key] = started
	started.notify()
	l.group.Go(func() { started.run(ctx) })
}

// wanted returns the target of each loop that the plan calls for. A neighbour
// that moved to another address gets a new loop.
func (l *loops) wanted(plan *member.Plan) map[string]func(int) (member.Record, bool) {
	wanted := make(map[string]func(int) (member.Record, bool))
	for _, node := range plan.Neighbours {
		wanted[nodeKey+node.ID+" "+node.ControlAddress()] = func(int) (member.Record, bool) { return node, true }
	}
	for region := range plan.BridgeTargets {
		wanted[regionKey+region] = func(failures int) (member.Record, bool) {
			return l.bridgeTarget(region, failures)
		}
	}
	return wanted
}

// bridgeTarget returns the node of another region to exchange with. Each failure
// moves on to the next by rank, since the bridges that this region knows may all
// have been replaced while it could not hear of it.
func (l *loops) bridgeTarget(region string, failures int) (member.Record, bool) {
	nodes := l.exchanger.deps.Table.Plan().BridgeTargets[region]
	if len(nodes) == 0 {
		return member.Record{}, false
	}
	return nodes[failures%len(nodes)], true
}

// notify tells every loop that there may be news.
func (l *loops) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, running := range l.running {
		running.notify()
	}
}

// stop ends all loops and waits for them.
func (l *loops) stop() {
	l.mu.Lock()
	for key, running := range l.running {
		running.cancel()
		delete(l.running, key)
	}
	l.mu.Unlock()
	l.group.Wait()
}
