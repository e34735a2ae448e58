package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

const (
	// aloneShare is the part of a limit that nodes without a verdict use together. The rest
	// covers the time in which the others don't know yet that these nodes are cut off.
	aloneShare = 0.75
	// startShare is that part for nodes that never had a verdict: a process that has just
	// started does not know what the one before accepted.
	startShare = 0.35
	// surgeWindow is about the time until a verdict tells of a surge. Within it, a node
	// accepts surgeRequests and surgeFactor times its equal part of the limit: enough for a
	// node with several times the usual part of the callers.
	surgeWindow   = 500 * time.Millisecond
	surgeRequests = 2
	surgeFactor   = 4
	// rateSmoothing is the weight of a new sample in a workspace's average rate at a node.
	rateSmoothing = 0.2
	// forgetAfter is the time after which a workspace that sends nothing is forgotten.
	forgetAfter = time.Minute
)

// heldVerdict is a verdict and the time at which it was true.
type heldVerdict struct {
	fractions map[string]float64
	at        time.Duration
}

// Limiter decides on the requests that one node gets. It is safe for concurrent use; a
// decision takes only the lock of its workspace.
type Limiter struct {
	config Config
	random func() float64

	verdict  atomic.Pointer[heldVerdict]
	counters sync.Map // workspace name to *counter
	takenAt  time.Duration
}

// NewLimiter returns a limiter without a verdict. random returns numbers in [0, 1).
func NewLimiter(config Config, random func() float64) *Limiter {
	return &Limiter{config: config, random: random}
}

// Admit decides on a request of a workspace. nodes is the number of nodes of the fleet.
// For a request that is not accepted, it returns the time after which one might be.
func (l *Limiter) Admit(now time.Duration, workspace *routing.Workspace, nodes int) (accepted bool, retryAfter time.Duration) {
	if !workspace.IsLimited() {
		return true, 0
	}
	c := l.counter(workspace.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage.Asked++
	c.usedAt = now
	// part is the part of the limit that belongs to one of the nodes.
	part := 1 / float64(max(nodes, 1))
	if verdict := l.verdict.Load(); verdict != nil && now-verdict.at <= l.config.StaleAfter {
		accepted, retryAfter = l.followVerdict(now, c, workspace, verdict, part)
	} else {
		accepted, retryAfter = l.decideAlone(now, c, workspace, part)
	}
	if accepted {
		c.usage.Accepted++
		c.accepted.add(now, l.config.Window)
	}
	return accepted, retryAfter
}

// followVerdict accepts the fraction that a verdict allows, and no surge that it can't
// tell of yet.
func (l *Limiter) followVerdict(now time.Duration, c *counter, w *routing.Workspace, verdict *heldVerdict, part float64) (accepted bool, retryAfter time.Duration) {
	fraction, bounded := verdict.fractions[w.Name]
	if !bounded {
		fraction = 1
	}
	allowance := surgeRequests + surgeFactor*part*w.RatePerSecond*surgeWindow.Seconds()
	accepted = c.takeFraction(fraction) && c.withinSurge(now, allowance)
	return accepted, c.untilAccepted(fraction)
}

// decideAlone accepts this node's part of the limit in a window.
func (l *Limiter) decideAlone(now time.Duration, c *counter, w *routing.Workspace, part float64) (accepted bool, retryAfter time.Duration) {
	share := aloneShare
	if l.verdict.Load() == nil {
		share = startShare
	}
	budget := share * part * (w.RatePerSecond*l.config.Window.Seconds() + w.Burst)
	return c.withinBudget(now, l.config.Window, budget, l.random()), l.config.Window / recentParts
}

// Return gives back an accepted request that certainly did not run.
func (l *Limiter) Return(workspace *routing.Workspace) {
	if !workspace.IsLimited() {
		return
	}
	c := l.counter(workspace.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usage.Accepted--
}

func (l *Limiter) counter(workspace string) *counter {
	if c, found := l.counters.Load(workspace); found {
		return c.(*counter)
	}
	c, _ := l.counters.LoadOrStore(workspace, &counter{usage: Usage{Workspace: workspace}, credit: l.random()})
	return c.(*counter)
}

// Take returns the usage since the last call, and forgets workspaces that sent nothing for
// long. Calls must not overlap.
func (l *Limiter) Take(now time.Duration) []Usage {
	elapsed := (now - l.takenAt).Seconds()
	l.takenAt = now
	var usage []Usage
	l.counters.Range(func(key, value any) bool {
		c := value.(*counter)
		c.mu.Lock()
		defer c.mu.Unlock()
		if elapsed > 0 {
			c.perSecond += rateSmoothing * (float64(c.usage.Asked)/elapsed - c.perSecond)
		}
		if c.usage.Asked != 0 || c.usage.Accepted != 0 {
			usage = append(usage, c.usage)
			c.usage.Asked, c.usage.Accepted = 0, 0
		} else if now-c.usedAt > forgetAfter {
			l.counters.Delete(key)
		}
		return true
	})
	return usage
}

// Apply puts a verdict that was true at the given time in force, unless a newer one is.
func (l *Limiter) Apply(verdict Verdict, at time.Duration) {
	if !verdict.Known {
		return
	}
	if known := l.verdict.Load(); known == nil || at > known.at {
		l.verdict.Store(&heldVerdict{fractions: verdict.fractions(), at: at})
	}
}

// HasVerdict reports whether a verdict is in force.
func (l *Limiter) HasVerdict(now time.Duration) bool {
	known := l.verdict.Load()
	return known != nil && now-known.at <= l.config.StaleAfter
}
