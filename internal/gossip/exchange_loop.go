package gossip

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// quickBridgeAttempts is the number of nodes of another region that are tried in
// immediate succession: both bridges, which may be frozen, and the one that
// replaced them.
const quickBridgeAttempts = 3

// exchangeLoop exchanges records with one neighbour or with one other region.
type exchangeLoop struct {
	exchanger *Exchanger
	// target returns the node to exchange with after the given number of failures.
	// It returns false when there is none.
	target func(failures int) (member.Record, bool)
	// pending holds a token while there may be changes to send.
	pending chan struct{}
	cancel  context.CancelFunc
	// failures is the total number of failed exchanges.
	failures int
	// interRegion is set for a loop to another region. There, a changed
	// configuration digest alone does not trigger an exchange before the interval
	// ends: the relay tree distributes the version, and an exchange would cost as
	// many bytes as the delta.
	interRegion bool
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// lastAddress is the address used by the last exchange.
	lastAddress string
}

func (l *exchangeLoop) trigger() {
	select {
	case l.pending <- struct{}{}:
	default:
	}
}

// run exchanges until the context ends: at every interval, and soon after a change.
// The time of the first exchange is randomized over the interval.
func (l *exchangeLoop) run(ctx context.Context) {
	config := l.exchanger.config
	timer := time.NewTimer(l.exchanger.jitter(config.Interval))
	defer timer.Stop()
	defer func() { l.exchanger.pool.closeUnused(l.lastAddress) }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.exchangeAtInterval(ctx)
			timer.Reset(config.Interval)
		case <-l.pending:
			if !sleep(ctx, config.PropagationDelay) {
				return
			}
			if l.exchangePending(ctx) {
				timer.Reset(config.Interval)
			}
		}
	}
}

// exchangeAtInterval performs the periodic exchange, unless the peer has just sent
// a message and there is nothing to send.
func (l *exchangeLoop) exchangeAtInterval(ctx context.Context) {
	e := l.exchanger
	node, ok := l.target(l.failures)
	if !ok {
		return
	}
	fullSync := e.needsFullSync(node.ID)
	recent := e.deps.Now().Sub(e.peers.get(node.ID).lastReceived) < e.config.SkipWithin
	if recent && !fullSync && !e.hasPending(node.ID, true) {
		e.counters.skipped.Inc(1)
		return
	}
	l.exchange(ctx, node, fullSync)
}

// exchangePending exchanges if there are changes to send. It reports whether it
// did.
func (l *exchangeLoop) exchangePending(ctx context.Context) bool {
	node, ok := l.target(l.failures)
	if !ok || !l.exchanger.hasPending(node.ID, !l.interRegion) {
		return false
	}
	l.exchange(ctx, node, false)
	return true
}

func (l *exchangeLoop) exchange(ctx context.Context, node member.Record, fullSync bool) {
	l.lastAddress = node.ControlAddress()
	if l.exchanger.exchangeWith(ctx, node, fullSync, l.timeout()) == nil {
		l.consecutiveFailures = 0
		return
	}
	l.failures++
	l.consecutiveFailures++
	if l.interRegion && l.consecutiveFailures < quickBridgeAttempts {
		l.trigger()
	}
}

// timeout returns the time allowed for the next exchange.
func (l *exchangeLoop) timeout() time.Duration {
	config := l.exchanger.config
	switch {
	case !l.interRegion:
		return config.ExchangeTimeout
	case l.consecutiveFailures < quickBridgeAttempts:
		return config.BridgeTimeout
	default:
		return config.SlowBridgeTimeout
	}
}

// sleep waits for the duration. It returns false when the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
