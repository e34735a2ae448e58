package claim

import (
	"sync"
	"time"
)

const (
	// MaxResponseBytes is the largest answer that is kept for a repeat.
	MaxResponseBytes = 64 << 10
	// maxRetainedBytes bounds all kept answers of a node.
	maxRetainedBytes = 16 << 20
	// responseRetention is how long an answer is kept.
	responseRetention = 10 * time.Minute
	// maxRunningCalls bounds the claimed calls that are marked as running.
	maxRunningCalls = 8192
)

// ResponseCache keeps the answers of claimed calls for repeats with the same key. It
// is safe for concurrent use.
type ResponseCache struct {
	now     func() time.Time
	metrics *metrics

	mu      sync.Mutex
	running map[string]bool
	kept    map[string]retainedResponse
	// order holds the kept answers, oldest first.
	order []retainedResponse
	bytes int
}

// retainedResponse is an answer with its call's name and the time it was kept.
type retainedResponse struct {
	name   string
	answer Response
	at     time.Time
}

func newResponseCache(now func() time.Time, metrics *metrics) *ResponseCache {
	return &ResponseCache{
		now:     now,
		metrics: metrics,
		running: make(map[string]bool),
		kept:    make(map[string]retainedResponse),
	}
}

// Begin marks a won claim's call as running.
func (a *ResponseCache) Begin(won Claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.running) < maxRunningCalls {
		a.running[won.scopedKey()] = true
	}
}

// End says that the call of a won claim ended without an answer to keep.
func (a *ResponseCache) End(won Claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, won.scopedKey())
}

// Retain ends the call of a won claim and keeps its answer, unless it is too
// large. The caller must not change the answer afterwards.
func (a *ResponseCache) Retain(won Claim, answer Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, won.scopedKey())
	if len(answer.Body) > MaxResponseBytes || answer.size() > 2*MaxResponseBytes {
		a.metrics.responsesDropped.Inc(1)
		return
	}
	answer.State = ResponseRetained
	kept := retainedResponse{name: won.scopedKey(), answer: answer, at: a.now()}
	a.kept[kept.name] = kept
	a.order = append(a.order, kept)
	a.bytes += answer.size()
	a.metrics.responsesRetained.Inc(1)
	a.evict()
}

// Lookup returns what is known about the call with a key.
func (a *ResponseCache) Lookup(service, key string) Response {
	name := Claim{Service: service, Key: key}.scopedKey()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evict()
	if a.running[name] {
		return Response{State: ResponsePending}
	}
	return a.kept[name].answer
}

// evict drops expired answers, and the oldest ones above the size limit.
func (a *ResponseCache) evict() {
	for len(a.order) > 0 {
		oldest := a.order[0]
		expired := a.now().Sub(oldest.at) > responseRetention
		if !expired && a.bytes <= maxRetainedBytes {
			return
		}
		if !expired {
			a.metrics.responsesDropped.Inc(1)
		}
		a.order = a.order[1:]
		a.bytes -= oldest.answer.size()
		// A released key may have been kept again since.
		if a.kept[oldest.name].at.Equal(oldest.at) {
			delete(a.kept, oldest.name)
		}
	}
}
