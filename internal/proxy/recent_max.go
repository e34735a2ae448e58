package proxy

import "time"

// recentMax is the maximum of the current and the previous window, so that a value
// counts for one to two windows. All times are readings of the same clock.
type recentMax struct {
	current, previous time.Duration
	windowStart       time.Duration
}

// newRecentMax returns a maximum with a first value.
func newRecentMax(now, value time.Duration) *recentMax {
	return &recentMax{current: value, previous: value, windowStart: now}
}

// add records a value and returns the maximum.
func (m *recentMax) add(now, value, window time.Duration) time.Duration {
	if now-m.windowStart >= window {
		m.previous, m.current, m.windowStart = m.current, value, now
	}
	m.current = max(m.current, value)
	return max(m.current, m.previous)
}
