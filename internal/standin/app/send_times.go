package app

import (
	"slices"
	"sync"
	"time"
)

// sendTimes holds when requests were sent. They are compared with the acknowledgement of
// a drain only when they are counted: a handler may run before the response to the
// check-in is processed, although its request was sent later.
type sendTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (s *sendTimes) add(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times = append(s.times, at)
}

// all returns the times in order.
func (s *sendTimes) all() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(slices.Values(s.times), time.Time.Compare)
}

// after returns the number of requests sent after a time.
func (s *sendTimes) after(limit time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var count int64
	for _, at := range s.times {
		if at.After(limit) {
			count++
		}
	}
	return count
}
