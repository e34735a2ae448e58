package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// WindowRecorder counts the calls that pass through one node by time window. It
// implements Recorder.
type WindowRecorder struct {
	config    Config
	region    string
	objective func(target string) time.Duration
	// targets is copied on write, so that Record needs no lock.
	targets atomic.Pointer[map[string]*counters]
	dropped atomic.Uint64

	mu        sync.Mutex
	histories map[string]*history
}

// NewWindowRecorder returns a recorder without calls for a node of the region.
// objective returns the latency objective of a target, 0 when it has none.
func NewWindowRecorder(config Config, region string, objective func(target string) time.Duration) (*WindowRecorder, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	w := &WindowRecorder{config: config, region: region, objective: objective, histories: make(map[string]*history)}
	w.targets.Store(&map[string]*counters{})
	return w, nil
}

// Record implements Recorder. It takes a lock only for the first call of a
// target.
func (w *WindowRecorder) Record(target string, elapsed time.Duration, success bool) {
	c := (*w.targets.Load())[target]
	if c == nil {
		c = w.add(target)
	}
	if c == nil {
		w.dropped.Add(1)
		return
	}
	c.add(elapsed, success)
}

// DroppedCalls returns the number of calls that were not counted, because the
// targets had reached MaxTargets or the name of the target was too long.
func (w *WindowRecorder) DroppedCalls() uint64 { return w.dropped.Load() }

// add adds a target and returns its counters; nil when the limits do not allow
// it.
func (w *WindowRecorder) add(target string) *counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := *w.targets.Load()
	if c := current[target]; c != nil {
		return c
	}
	if len(current) >= w.config.MaxTargets || len(target) > maxNameBytes {
		return nil
	}
	updated := make(map[string]*counters, len(current)+1)
	for name, c := range current {
		updated[name] = c
	}
	updated[target] = newCounters(w.config.Shards)
	w.histories[target] = &history{}
	w.targets.Store(&updated)
	return updated[target]
}

// Rows collects the counted calls and returns the totals over the windows,
// ordered by target. It must be called several times a slot, so that calls are
// counted in the slot of their time. Targets without calls for 6 h are removed.
func (w *WindowRecorder) Rows(now time.Time) []Row {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []Row
	active := make(map[string]*counters)
	for target, c := range *w.targets.Load() {
		h := w.histories[target]
		h.advance(now)
		h.collect(c, w.objective(target))
		row, hasCalls := h.row(target, w.region)
		if !hasCalls {
			// A call that is recorded concurrently may be lost with its target, which
			// had no call for 6 h.
			delete(w.histories, target)
			continue
		}
		active[target] = c
		rows = append(rows, row)
	}
	if len(active) < len(*w.targets.Load()) {
		w.targets.Store(&active)
	}
	sortRows(rows)
	return rows
}
