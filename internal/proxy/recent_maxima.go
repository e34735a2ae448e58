package proxy

import (
	"sync"
	"time"
)

// recentMaxima holds a recentMax for each of a bounded number of keys. It is safe for
// concurrent use.
type recentMaxima struct {
	window time.Duration
	limit  int

	mu    sync.Mutex
	byKey map[string]*recentMax
}

// newRecentMaxima returns maxima of values that count for one to two windows. A new
// key beyond the limit clears all maxima.
func newRecentMaxima(window time.Duration, limit int) *recentMaxima {
	return &recentMaxima{window: window, limit: limit, byKey: make(map[string]*recentMax)}
}

// shortfall records a value of a key and returns how far it is below the maximum.
func (m *recentMaxima) shortfall(now time.Duration, key string, value time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := m.byKey[key]
	if largest == nil {
		if len(m.byKey) >= m.limit {
			clear(m.byKey)
		}
		largest = newRecentMax(now, value)
		m.byKey[key] = largest
	}
	return largest.add(now, value, m.window) - value
}
