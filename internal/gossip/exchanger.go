// Package gossip exchanges membership records, configuration digests and crash
// reports with other nodes.
//
// It owns the connections to neighbours and the progress of the exchange with
// each peer. Lost messages are repeated; a node that reaches nobody keeps what
// it holds and goes on trying its seeds.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// cleanupInterval is the time between two searches for what is no longer needed.
const cleanupInterval = 5 * time.Second

// Exchanger runs the Membership service of one node.
type Exchanger struct {
	config   Config
	deps     Dependencies
	log      uint32
	counters *counters
	bounds   *boundGauges
	pool     *pool
	peers    *peers
	loops    *loops
	// send is call; tests replace it.
	send func(context.Context, string, *controlpb.Gossip) (*controlpb.Gossip, bool, error)
	// heardAt is when the last message of any node arrived; nil before the first.
	heardAt atomic.Pointer[time.Time]
	// changed holds a token while the plan may have changed.
	changed    chan struct{}
	joined     chan struct{}
	joinedOnce sync.Once
}

// New returns an Exchanger. Register adds it to a server; Run starts it.
func New(config Config, deps Dependencies) (*Exchanger, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	deps, err := deps.withDefaults()
	if err != nil {
		return nil, err
	}
	counters := newCounters(deps.Scope)
	e := &Exchanger{
		config:   config,
		deps:     deps,
		log:      rand.Uint32N(1<<28-1) + 1,
		counters: counters,
		bounds:   newBoundGauges(deps.Scope),
		pool:     newPool(config, deps, counters),
		peers:    newPeers(),
		changed:  make(chan struct{}, 1),
		joined:   make(chan struct{}),
	}
	e.loops = newLoops(e)
	e.send = e.call
	deps.Table.Subscribe(member.ListenerFunc(func(member.Change) { e.TriggerExchange() }))
	return e, nil
}

// TriggerExchange sends news to the neighbours soon. It is called when the digest of the
// own configuration changed; changes of the table need no call.
func (e *Exchanger) TriggerExchange() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// ReportCrash adds the crash of the backend server beside this node to the quarantine
// list and sends it to the neighbours soon.
func (e *Exchanger) ReportCrash(request quarantine.Request) {
	now := e.deps.Now()
	report := quarantine.Report{Request: request, Node: e.deps.Table.ID(), At: now}
	if e.deps.Quarantine.Add([]quarantine.Report{report}, now) {
		e.TriggerExchange()
	}
}

// Joined is closed once records have been exchanged with another node.
func (e *Exchanger) Joined() <-chan struct{} { return e.joined }

// Run exchanges records until the context ends.
func (e *Exchanger) Run(ctx context.Context) error {
	defer e.pool.closeAll()
	defer e.loops.stop()
	var seeds sync.WaitGroup
	seeds.Go(func() { newSeeder(e).run(ctx) })
	defer seeds.Wait()
	ticker := time.NewTicker(e.config.TickInterval)
	defer ticker.Stop()
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	e.TriggerExchange()
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "membership exchange stopped")
		case <-ticker.C:
			e.deps.Table.Tick(e.deps.Now())
		case <-cleanup.C:
			e.peers.prune(e.deps.Table.View())
			e.pool.closeIdle()
			e.bounds.update(e.deps)
		case <-e.changed:
			e.loops.follow(ctx, e.deps.Table.Plan())
			e.loops.notify()
		}
	}
}

// Leave announces that the process ends and waits until the neighbours know, or
// until the context ends. Run must still be running.
func (e *Exchanger) Leave(ctx context.Context) {
	plan := e.deps.Table.Plan()
	e.deps.Table.MarkLeft(e.deps.Now())
	targets := plan.Neighbours
	for _, nodes := range plan.BridgeTargets {
		targets = append(targets[:len(targets):len(targets)], nodes[0])
	}
	var group sync.WaitGroup
	for _, node := range targets {
		group.Go(func() { _ = e.exchangeWith(ctx, node, false, e.config.ExchangeTimeout) })
	}
	group.Wait()
}

// isolated reports whether no node has sent a message lately. The records held
// do not tell: they may all be those of nodes that are gone.
func (e *Exchanger) isolated() bool {
	heardAt := e.heardAt.Load()
	return heardAt == nil || e.deps.Now().Sub(*heardAt) > e.config.IsolatedAfter
}

// jitter returns a random time below the limit (full jitter).
func (e *Exchanger) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.deps.Random() * float64(limit))
}
