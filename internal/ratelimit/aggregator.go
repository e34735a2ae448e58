package ratelimit

import (
	"sync"
	"time"
)

// Aggregator sums the reports of the nodes of a failure domain, the local one among them.
// It is safe for concurrent use.
type Aggregator struct {
	config Config
	name   string

	mu       sync.Mutex
	sources  sources
	sums     map[string]Usage
	sequence uint64
	verdict  Verdict
	at       time.Duration
}

// NewAggregator returns an aggregator whose reports bear the name, which must be unique to
// the process.
func NewAggregator(config Config, name string) *Aggregator {
	return &Aggregator{config: config, name: name, sources: make(sources), sums: make(map[string]Usage)}
}

// Add adds the report of another node.
func (a *Aggregator) Add(now time.Duration, r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sources.accept(now, r) {
		a.add(r.Usage)
	}
}

// AddLocal adds the usage of the local node.
func (a *Aggregator) AddLocal(usage []Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(usage)
}

func (a *Aggregator) add(usage []Usage) {
	for _, u := range usage {
		sum := a.sums[u.Workspace]
		a.sums[u.Workspace] = Usage{Workspace: u.Workspace, Asked: sum.Asked + u.Asked, Accepted: sum.Accepted + u.Accepted}
	}
}

// Take returns a report of what was added since the last call. One that does not arrive
// is added again by Restore.
func (a *Aggregator) Take(now time.Duration) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	r := Report{Source: a.name, Sequence: a.sequence, Nodes: 1 + a.sources.heard(now, a.config.StaleAfter)}
	for _, u := range a.sums {
		r.Usage = append(r.Usage, u)
	}
	clear(a.sums)
	return r
}

// Restore adds a report again that may not have arrived. One that did arrive is counted
// twice then, which errs on the side of the limit.
func (a *Aggregator) Restore(r Report) { a.AddLocal(r.Usage) }

// HasSources reports whether other nodes report to this one.
func (a *Aggregator) HasSources(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sources.heard(now, a.config.StaleAfter) > 0
}

// Apply records a verdict that was true at the given time.
func (a *Aggregator) Apply(verdict Verdict, at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if verdict.Known && (!a.verdict.Known || at > a.at) {
		a.verdict, a.at = verdict, at
	}
}

// Verdict returns the newest verdict and the time since it was true.
func (a *Aggregator) Verdict(now time.Duration) (Verdict, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.verdict, now - a.at
}
