package ratelimit

import (
	"math"
	"sync"
	"time"
)

// counter is the state of one workspace at a node.
type counter struct {
	mu    sync.Mutex
	usage Usage
	// credit is what earlier requests left of their fractions: a request is accepted for
	// each whole one. It starts at random, so that the first requests of all nodes are
	// accepted in the same fraction.
	credit float64
	// perSecond is the average rate of requests at this node.
	perSecond float64
	// accepted counts what the node accepted lately.
	accepted recent
	// budget is what the node may accept in a window without a verdict, rounded, and
	// budgetUntil when it is rounded anew.
	budget      int64
	budgetUntil time.Duration
	// surge is the number of the surgeWindow in which surged requests were accepted.
	surge  int64
	surged float64
	// usedAt is when the workspace last sent a request.
	usedAt time.Duration
}

// takeFraction accepts a fraction of the requests.
func (c *counter) takeFraction(fraction float64) bool {
	if fraction >= 1 {
		return true
	}
	c.credit = min(c.credit+fraction, 2)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// withinBudget reports whether the node stays within its part of a window's limit. The
// fractional part of the budget is rounded at random, so that the sum over all nodes is
// right.
func (c *counter) withinBudget(now, window time.Duration, budget, random float64) bool {
	if now >= c.budgetUntil {
		whole := math.Floor(budget)
		c.budget, c.budgetUntil = int64(whole), now+window
		if random < budget-whole {
			c.budget++
		}
	}
	return c.accepted.sum(now, window) < c.budget
}

// withinSurge reports whether the node accepts no more than an allowance in each
// surgeWindow.
func (c *counter) withinSurge(now time.Duration, allowance float64) bool {
	if window := int64(now / surgeWindow); window != c.surge {
		c.surge, c.surged = window, 0
	}
	if c.surged+1 > allowance {
		return false
	}
	c.surged++
	return true
}

// untilAccepted returns the time until the next request would be accepted, if they go on
// coming as they do.
func (c *counter) untilAccepted(fraction float64) time.Duration {
	rate := fraction * c.perSecond
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((1 - c.credit) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

const (
	// minRetryAfter and maxRetryAfter bound the time that a caller is asked to wait. Below
	// the first, the verdict has not changed yet; above the second, a guess is no better.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)
