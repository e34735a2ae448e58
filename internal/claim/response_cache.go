package claim

import (
	"sync"
	"time"
)

const (
	// MaxResponseBytes is the largest response body that is retained for a repeat.
	// Body and headers together may take twice as much memory.
	MaxResponseBytes = 64 << 10
	// maxRetainedBytes limits the total size of the retained responses of a node.
	maxRetainedBytes = 16 << 20
	// responseRetention is how long a response is retained.
	responseRetention = 10 * time.Minute
	// maxRunningCalls limits the claimed calls that are marked as running.
	maxRunningCalls = 8192
)

// ResponseCache retains the responses of claimed calls for repeats with the same
// key. It is safe for concurrent use.
type ResponseCache struct {
	now     func() time.Time
	metrics *metrics

	mu       sync.Mutex
	running  map[string]bool
	retained map[string]retainedResponse
	// order holds the retained responses, oldest first.
	order []retainedResponse
	bytes int
}

// retainedResponse is a response, the scoped key of its call and the time at
// which it was stored.
type retainedResponse struct {
	key      string
	response Response
	storedAt time.Time
}

func newResponseCache(now func() time.Time, metrics *metrics) *ResponseCache {
	return &ResponseCache{
		now:      now,
		metrics:  metrics,
		running:  make(map[string]bool),
		retained: make(map[string]retainedResponse),
	}
}

// Begin marks the call of a granted claim as running.
func (c *ResponseCache) Begin(granted Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.running) < maxRunningCalls {
		c.running[granted.scopedKey()] = true
	}
}

// End records that the call of a granted claim ended without a response to retain.
func (c *ResponseCache) End(granted Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, granted.scopedKey())
}

// Retain records the end of the call of a granted claim and retains its response
// unless it is too large. The caller must not modify the response afterwards.
func (c *ResponseCache) Retain(granted Claim, response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, granted.scopedKey())
	if len(response.Body) > MaxResponseBytes || response.size() > 2*MaxResponseBytes {
		c.metrics.responsesDropped.Inc(1)
		return
	}
	response.State = ResponseRetained
	entry := retainedResponse{key: granted.scopedKey(), response: response, storedAt: c.now()}
	c.retained[entry.key] = entry
	c.order = append(c.order, entry)
	c.bytes += response.size()
	c.metrics.responsesRetained.Inc(1)
	c.evict()
}

// Lookup returns the response of the call with a key; its state tells whether it
// is retained.
func (c *ResponseCache) Lookup(service, key string) Response {
	scopedKey := Claim{Service: service, Key: key}.scopedKey()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict()
	if c.running[scopedKey] {
		return Response{State: ResponsePending}
	}
	return c.retained[scopedKey].response
}

// evict drops expired responses, and the oldest ones while the total size is
// above the limit.
func (c *ResponseCache) evict() {
	for len(c.order) > 0 {
		oldest := c.order[0]
		expired := c.now().Sub(oldest.storedAt) > responseRetention
		if !expired && c.bytes <= maxRetainedBytes {
			return
		}
		if !expired {
			c.metrics.responsesDropped.Inc(1)
		}
		c.order = c.order[1:]
		c.bytes -= oldest.response.size()
		// A key that was released may have a newer response by now.
		if c.retained[oldest.key].storedAt.Equal(oldest.storedAt) {
			delete(c.retained, oldest.key)
		}
	}
}
