package proxy

import "time"

// recentMax is the largest value of the current and of the previous window, so that
// a value counts for one to two windows. Times are readings of one clock.
type recentMax struct {
	current, previous time.Duration
	began             time.Duration
}

// newRecentMax returns a maximum that starts with a first value.
func newRecentMax(now, value time.Duration) *recentMax {
	return &recentMax{current: value, previous: value, began: now}
}

// add notes a value and returns the largest one.
func (m *recentMax) add(now, value, window time.Duration) time.Duration {
	if now-m.began >= window {
		m.previous, m.current, m.began = m.current, value, now
	}
	m.current = max(m.current, value)
	return max(m.current, m.previous)
}
