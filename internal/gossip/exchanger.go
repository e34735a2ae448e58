// Package gossip exchanges membership records, configuration digests and crash
// reports with other nodes.
//
// Nodes use push-pull exchanges: each message contains the changes that the peer
// has not acknowledged, so lost messages are repeated. The package owns the
// connections to the neighbours and the progress of the exchange with each peer. An
// isolated node keeps its records and continues to try its seeds.
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

// cleanupInterval is the time between two removals of unknown peers and idle
// connections.
const cleanupInterval = 5 * time.Second

// Exchanger runs the Membership service of one node.
type Exchanger struct {
	config Config
	deps   Dependencies
	// logID identifies the change log of this process; it is never 0.
	logID    uint32
	counters *counters
	gauges   *membershipGauges
	pool     *pool
	peers    *peers
	loops    *exchangeLoops
	// send is callPeer except in tests.
	send func(context.Context, string, *controlpb.Gossip) (*controlpb.Gossip, bool, error)
	// lastReceived is when the last message of any node arrived; nil before the
	// first.
	lastReceived atomic.Pointer[time.Time]
	// pending holds a token while there may be changes to the plan or changes to
	// send.
	pending    chan struct{}
	joined     chan struct{}
	joinedOnce sync.Once
}

// New returns an Exchanger. Register adds it to a server; Run starts it. It returns
// an error when the config is invalid or a required dependency is missing.
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
		logID:    rand.Uint32N(1<<28-1) + 1,
		counters: counters,
		gauges:   newMembershipGauges(deps.Scope),
		pool:     newPool(config, deps, counters),
		peers:    newPeers(),
		pending:  make(chan struct{}, 1),
		joined:   make(chan struct{}),
	}
	e.loops = newExchangeLoops(e)
	e.send = e.callPeer
	deps.Table.Subscribe(member.ListenerFunc(func(member.Change) { e.TriggerExchange() }))
	return e, nil
}

// TriggerExchange sends pending changes to the neighbours after PropagationDelay.
// It must be called when the digest of the local configuration changes; changes of
// the table trigger an exchange by themselves.
func (e *Exchanger) TriggerExchange() {
	select {
	case e.pending <- struct{}{}:
	default:
	}
}

// ReportCrash adds a crash of the local backend server to the quarantine list and
// sends it to the neighbours after PropagationDelay.
func (e *Exchanger) ReportCrash(request quarantine.Request) {
	now := e.deps.Now()
	report := quarantine.Report{Request: request, Node: e.deps.Table.ID(), At: now}
	if e.deps.Quarantine.Add([]quarantine.Report{report}, now) {
		e.TriggerExchange()
	}
}

// Joined returns a channel that is closed after the first successful exchange with
// another node.
func (e *Exchanger) Joined() <-chan struct{} { return e.joined }

// Run exchanges records until the context ends, and returns its error.
func (e *Exchanger) Run(ctx context.Context) error {
	defer e.pool.closeAll()
	defer e.loops.stop()
	var seeding sync.WaitGroup
	seeding.Go(func() { newSeeder(e).run(ctx) })
	defer seeding.Wait()
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
			e.gauges.update(e.deps)
		case <-e.pending:
			e.loops.reconcile(ctx, e.deps.Table.Plan())
			e.loops.triggerAll()
		}
	}
}

// Leave announces that the process is ending and waits until the neighbours have
// received it or the context ends. Run must still be running.
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

// isolated reports whether no node has sent a message within IsolatedAfter. The
// records in the table do not show this: they may all be those of left or dead
// nodes.
func (e *Exchanger) isolated() bool {
	last := e.lastReceived.Load()
	return last == nil || e.deps.Now().Sub(*last) > e.config.IsolatedAfter
}

// jitter returns a random duration below the limit (full jitter).
func (e *Exchanger) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.deps.Random() * float64(limit))
}
