package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// WindowRecorder counts the calls that pass through one node. It implements Recorder.
type WindowRecorder struct {
	config    Config
	region    string
	objective func(target string) time.Duration
	// targets is replaced as a whole, so that Record needs no lock.
	targets atomic.Pointer[map[string]*counters]
	dropped atomic.Uint64

	mu        sync.Mutex
	histories map[string]*history
}

// NewWindowRecorder returns an empty count for a node of the region. objective returns
// the latency objective of a target, 0 when it has none.
func NewWindowRecorder(config Config, region string, objective func(target string) time.Duration) (*WindowRecorder, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	w := &WindowRecorder{config: config, region: region, objective: objective, histories: make(map[string]*history)}
	w.targets.Store(&map[string]*counters{})
	return w, nil
}

// Record implements Recorder. It takes no lock except for the first call of a
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

// DroppedCalls counts the calls that found no room for their target.
func (w *WindowRecorder) DroppedCalls() uint64 { return w.dropped.Load() }

// add makes room for a target; nil when there is none.
func (w *WindowRecorder) add(target string) *counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := *w.targets.Load()
	if c := before[target]; c != nil {
		return c
	}
	if len(before) >= w.config.MaxTargets || len(target) > maxNameBytes {
		return nil
	}
	after := make(map[string]*counters, len(before)+1)
	for name, c := range before {
		after[name] = c
	}
	after[target] = newCounters(w.config.Shards)
	w.histories[target] = &history{}
	w.targets.Store(&after)
	return after[target]
}

// Rows collects what was counted and returns the sums over the windows, ordered
// by target. It is called every 10 s, so that calls are counted in their slots.
func (w *WindowRecorder) Rows(now time.Time) []Row {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []Row
	kept := make(map[string]*counters)
	for target, c := range *w.targets.Load() {
		h := w.histories[target]
		h.advance(now)
		h.collect(c, w.objective(target))
		row, used := h.row(target, w.region)
		if !used {
			// A call that is being counted right now may be lost with its target,
			// which had no call for 6 h.
			delete(w.histories, target)
			continue
		}
		kept[target] = c
		rows = append(rows, row)
	}
	if len(kept) < len(*w.targets.Load()) {
		w.targets.Store(&kept)
	}
	sortRows(rows)
	return rows
}
