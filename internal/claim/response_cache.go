package claim

import (
	"sync"
	"time"
)

const (
	// MaxResponseBytes is the largest answer that is kept for a repeat.
	MaxResponseBytes = 64 << 10
	// maxAnswersBytes bounds all kept answers of a node.
	maxAnswersBytes = 16 << 20
	// answerRetention is how long an answer is kept.
	answerRetention = 10 * time.Minute
	// maxRunning bounds the claimed calls that are marked as running.
	maxRunning = 8192
)

// ResponseCache keeps the answers of claimed calls for repeats with the same key. It
// is safe for concurrent use.
type ResponseCache struct {
	now     func() time.Time
	metrics *metrics

	mu      sync.Mutex
	running map[string]bool
	kept    map[string]keptAnswer
	// order holds the kept answers, oldest first.
	order []keptAnswer
	bytes int
}

// keptAnswer is an answer with its call's name and the time it was kept.
type keptAnswer struct {
	name   string
	answer Response
	at     time.Time
}

func newAnswers(now func() time.Time, metrics *metrics) *ResponseCache {
	return &ResponseCache{
		now:     now,
		metrics: metrics,
		running: make(map[string]bool),
		kept:    make(map[string]keptAnswer),
	}
}

// Begin marks a won claim's call as running.
func (a *ResponseCache) Begin(won Claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.running) < maxRunning {
		a.running[won.name()] = true
	}
}

// End says that the call of a won claim ended without an answer to keep.
func (a *ResponseCache) End(won Claim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, won.name())
}

// Retain ends the call of a won claim and keeps its answer, unless it is too
// large. The caller must not change the answer afterwards.
func (a *ResponseCache) Retain(won Claim, answer Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, won.name())
	if len(answer.Body) > MaxResponseBytes || answer.size() > 2*MaxResponseBytes {
		a.metrics.answersDropped.Inc(1)
		return
	}
	answer.State = ResponseRetained
	kept := keptAnswer{name: won.name(), answer: answer, at: a.now()}
	a.kept[kept.name] = kept
	a.order = append(a.order, kept)
	a.bytes += answer.size()
	a.metrics.answersKept.Inc(1)
	a.evict()
}

// Lookup returns what is known about the call with a key.
func (a *ResponseCache) Lookup(service, key string) Response {
	name := Claim{Service: service, Key: key}.name()
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
		expired := a.now().Sub(oldest.at) > answerRetention
		if !expired && a.bytes <= maxAnswersBytes {
			return
		}
		if !expired {
			a.metrics.answersDropped.Inc(1)
		}
		a.order = a.order[1:]
		a.bytes -= oldest.answer.size()
		// A released key may have been kept again since.
		if a.kept[oldest.name].at.Equal(oldest.at) {
			delete(a.kept, oldest.name)
		}
	}
}
