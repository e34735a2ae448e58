package gossip

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// quickBridgeAttempts is the number of nodes of another region that are tried one
// right after the other: both bridges that froze, and one that replaced them.
const quickBridgeAttempts = 3

// loop exchanges records with one neighbour, or with one node of another region.
type loop struct {
	exchanger *Exchanger
	// target returns the node to exchange with after a number of failures.
	target func(failures int) (member.Record, bool)
	// wake holds a token while there may be news.
	wake     chan struct{}
	cancel   context.CancelFunc
	failures int
	// crossing is set for a loop to another region. There a changed configuration
	// digest alone is no reason to exchange before the interval: the relay tree
	// carries the version, and an exchange would cost as many bytes as the delta.
	crossing bool
	// inRow counts the failures since the last success.
	inRow int
	// address is where the last exchange went.
	address string
}

func (l *loop) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run exchanges until the context ends: at the interval, and soon after a
// change. The first exchange is spread over the interval.
func (l *loop) run(ctx context.Context) {
	config := l.exchanger.config
	timer := time.NewTimer(l.exchanger.jitter(config.Interval))
	defer timer.Stop()
	defer func() { l.exchanger.pool.discard(l.address) }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.periodic(ctx)
			timer.Reset(config.Interval)
		case <-l.wake:
			if !sleep(ctx, config.PropagationDelay) {
				return
			}
			if l.triggered(ctx) {
				timer.Reset(config.Interval)
			}
		}
	}
}

// periodic exchanges unless the peer did so a moment ago and there is no news.
func (l *loop) periodic(ctx context.Context) {
	e := l.exchanger
	node, found := l.target(l.failures)
	if !found {
		return
	}
	full := e.needsFull(node.ID)
	recent := e.deps.Now().Sub(e.peers.get(node.ID).heardAt) < e.config.SkipWithin
	if recent && !full && !e.hasNews(node.ID, true) {
		e.counters.skipped.Inc(1)
		return
	}
	l.exchange(ctx, node, full)
}

// triggered exchanges when there is news. It reports whether it did.
func (l *loop) triggered(ctx context.Context) bool {
	node, found := l.target(l.failures)
	if !found || !l.exchanger.hasNews(node.ID, !l.crossing) {
		return false
	}
	l.exchange(ctx, node, false)
	return true
}

func (l *loop) exchange(ctx context.Context, node member.Record, full bool) {
	l.address = node.ControlAddress()
	if l.exchanger.exchangeWith(ctx, node, full, l.timeout()) == nil {
		l.inRow = 0
		return
	}
	l.failures++
	l.inRow++
	if l.crossing && l.inRow < quickBridgeAttempts {
		l.notify()
	}
}

// timeout returns the time that the next exchange may take.
func (l *loop) timeout() time.Duration {
	config := l.exchanger.config
	switch {
	case !l.crossing:
		return config.ExchangeTimeout
	case l.inRow < quickBridgeAttempts:
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
