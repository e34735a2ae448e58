package ratelimit

import (
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Allocator holds the token buckets of all workspaces, from the reports of all failure
// domains. Several may be at work when nodes differ in their view of the fleet: each gives
// out the part of a limit that belongs to the nodes it hears, so that the parts sum up to
// one. It is safe for concurrent use.
type Allocator struct {
	config Config

	mu      sync.Mutex
	sources sources
	buckets map[string]*bucket
	// startedAt is when the first report came after a time without any, and heardAt when
	// the last one came.
	startedAt, heardAt time.Duration
	started            bool
}

// NewAllocator returns an allocator that has heard nobody.
func NewAllocator(config Config) *Allocator {
	return &Allocator{config: config, sources: make(sources), buckets: make(map[string]*bucket)}
}

// Report counts a report and returns the verdict. nodes is the number of nodes of the
// fleet, and workspace finds a workspace by its name.
func (a *Allocator) Report(now time.Duration, r Report, nodes int, workspace func(string) (*routing.Workspace, bool)) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.started || now-a.heardAt > a.config.StaleAfter {
		// Another allocator may have given out the bursts meanwhile.
		a.started, a.startedAt = true, now
		clear(a.buckets)
	}
	a.heardAt = now
	if a.sources.accept(now, r) {
		for _, u := range r.Usage {
			a.bucket(now, u.Workspace).use(now, u)
		}
	}
	return a.verdict(now, nodes, workspace)
}

// bucket returns the bucket of a workspace. A new one is full, unless the workspace may
// have used its burst with another allocator.
func (a *Allocator) bucket(now time.Duration, workspace string) *bucket {
	b := a.buckets[workspace]
	if b == nil {
		b = &bucket{updatedAt: now}
		if now-a.startedAt > a.config.Window {
			b.tokens = maxTokens
		}
		a.buckets[workspace] = b
	}
	return b
}

// maxTokens fills a bucket whose burst is not known yet.
const maxTokens = 1e12

func (a *Allocator) verdict(now time.Duration, nodes int, workspace func(string) (*routing.Workspace, bool)) Verdict {
	heard := a.sources.heard(now, a.config.StaleAfter)
	part := min(1, float64(heard)/float64(max(nodes, 1)))
	verdict := Verdict{Known: now-a.startedAt >= a.config.WarmUp}
	for name, b := range a.buckets {
		w, found := workspace(name)
		if !found || !w.IsLimited() || now-b.usedAt > forgetAfter {
			delete(a.buckets, name)
			continue
		}
		b.setLimit(w, part, a.config)
		if fraction := b.fraction(now); fraction < 1 {
			verdict.Shares = append(verdict.Shares, Share{Workspace: name, Fraction: fraction})
		}
	}
	return verdict
}
