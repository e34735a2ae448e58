package gossip

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// quickBridgeAttempts is the number of nodes of another region that are tried one
// right after the other: both bridges that froze, and one that replaced them.
const quickBridgeAttempts = 3

// exchangeLoop exchanges records with one neighbour, or with one node of another region.
type exchangeLoop struct {
	exchanger *Exchanger
	// target returns the node to exchange with after a number of failures.
	target func(failures int) (member.Record, bool)
	// pending holds a token while there may be news.
	pending  chan struct{}
	cancel   context.CancelFunc
	failures int
	// interRegion is set for a loop to another region. There a changed configuration
	// digest alone is no reason to exchange before the interval: the relay tree
	// carries the version, and an exchange would cost as many bytes as the delta.
	interRegion bool
	// consecutiveFailures counts the failures since the last success.
	consecutiveFailures int
	// lastAddress is where the last exchange went.
	lastAddress string
}

func (l *exchangeLoop) trigger() {
	select {
	case l.pending <- struct{}{}:
	default:
	}
}

// run exchanges until the context ends: at the interval, and soon after a
// change. The first exchange is spread over the interval.
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

// exchangeAtInterval exchanges unless the peer did so a moment ago and there is no news.
func (l *exchangeLoop) exchangeAtInterval(ctx context.Context) {
	e := l.exchanger
	node, found := l.target(l.failures)
	if !found {
		return
	}
	full := e.needsFullSync(node.ID)
	recent := e.deps.Now().Sub(e.peers.get(node.ID).lastReceived) < e.config.SkipWithin
	if recent && !full && !e.hasPending(node.ID, true) {
		e.counters.skipped.Inc(1)
		return
	}
	l.exchange(ctx, node, full)
}

// exchangePending exchanges when there is news. It reports whether it did.
func (l *exchangeLoop) exchangePending(ctx context.Context) bool {
	node, found := l.target(l.failures)
	if !found || !l.exchanger.hasPending(node.ID, !l.interRegion) {
		return false
	}
	l.exchange(ctx, node, false)
	return true
}

func (l *exchangeLoop) exchange(ctx context.Context, node member.Record, full bool) {
	l.lastAddress = node.ControlAddress()
	if l.exchanger.exchangeWith(ctx, node, full, l.timeout()) == nil {
		l.consecutiveFailures = 0
		return
	}
	l.failures++
	l.consecutiveFailures++
	if l.interRegion && l.consecutiveFailures < quickBridgeAttempts {
		l.trigger()
	}
}

// timeout returns the time that the next exchange may take.
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

// sleep waits; false means that the context ended.
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
