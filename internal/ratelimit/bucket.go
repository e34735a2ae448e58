package ratelimit

import (
	"math"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

const (
	// demandWindow is the time constant of the average demand. It covers two reports.
	demandWindow = 400 * time.Millisecond
	// tokenHorizon is the time in which the tokens of a bucket may be used up.
	tokenHorizon = time.Second
	// freeShare is the share of a bucket's burst down to which all requests are accepted,
	// so that a few requests of a small workspace close together bound nothing.
	freeShare = 0.5
	// freeDemand is the ratio of the demand to the rate above which that does not hold: a
	// hot workspace would use up a bucket within one report, again and again.
	freeDemand = 2
	// rateShare is the part of a burst that is given out as a rate over the window, and
	// bucketShare the one that the bucket holds. The rest covers what nodes accept before
	// they know of a change. slackTokens is what the bucket
	// holds beyond that, so that small workspaces may send a few requests close together.
	// It is half of what a window may hold beyond the limit.
	rateShare   = 0.6
	bucketShare = 0.2
	slackTokens = 10
	// overageShare is the part of the allowed overage that is given away, so that nothing
	// within the limit is refused for the sake of rounding.
	overageShare = 0.3
)

// bucket is the token bucket of one workspace over all nodes. Tokens are negative after
// nodes accepted more than they would have known to.
type bucket struct {
	tokens    float64
	perSecond float64
	burst     float64
	// demand is the moving average of the requests that come, in requests a second.
	demand    float64
	updatedAt time.Duration
	usedAt    time.Duration
}

// setLimit puts the limit of a workspace in force, of which a part counts here. A window
// may hold the requests of its rate and a burst, again and again, so most of the burst is
// given out as a rate: a bucket of the whole burst would be empty after the first window,
// and refuse what the limit allows in each later one.
func (b *bucket) setLimit(w *routing.Workspace, part float64, config Config) {
	part *= 1 + config.Overage*overageShare
	b.perSecond = (w.RatePerSecond + rateShare*w.Burst/config.Window.Seconds()) * part
	b.burst = max(bucketShare*w.Burst+min(w.Burst, slackTokens), 1) * part
	b.tokens = min(b.tokens, b.burst)
}

func (b *bucket) advance(now time.Duration) {
	elapsed := now - b.updatedAt
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.tokens = min(b.burst, b.tokens+b.perSecond*elapsed.Seconds())
	b.demand *= math.Exp(-float64(elapsed) / float64(demandWindow))
}

func (b *bucket) use(now time.Duration, u Usage) {
	b.advance(now)
	b.usedAt = now
	b.tokens -= float64(u.Accepted)
	b.demand += float64(u.Asked) / demandWindow.Seconds()
}

// fraction returns the part of the requests that may be accepted.
func (b *bucket) fraction(now time.Duration) float64 {
	b.advance(now)
	allowed := b.perSecond + b.tokens/tokenHorizon.Seconds()
	switch {
	case allowed <= 0:
		return 0
	case allowed >= b.demand, b.tokens >= b.burst*freeShare && b.demand <= b.perSecond*freeDemand:
		return 1
	default:
		return allowed / b.demand
	}
}
