package proxy

import (
	"sync"
	"time"
)

const (
	// latenessWindow is how long the fastest request of a front counts, so that a
	// longer way is learned.
	latenessWindow = 10 * time.Second
	// maxFronts bounds the fronts that are known.
	maxFronts = 4096
)

// lateness tells how much longer a request was on its way than the fastest one of
// its front. The hosts' clocks that count suspensions have different origins, but
// run at the same rate, so the difference of their readings is the time on the way
// and a constant.
type lateness struct {
	mu     sync.Mutex
	fronts map[string]*fastest
}

// fastest holds the smallest differences of the current and of the previous window.
type fastest struct {
	current, previous time.Duration
	began             time.Duration
}

func newLateness() *lateness { return &lateness{fronts: make(map[string]*fastest)} }

// of returns how late a request is that a front sent and that arrives now, each by
// the clock of its host.
func (l *lateness) of(front string, sent, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	difference := now - sent
	f := l.fronts[front]
	if f == nil {
		if len(l.fronts) >= maxFronts {
			clear(l.fronts)
		}
		f = &fastest{current: difference, previous: difference, began: now}
		l.fronts[front] = f
	}
	if now-f.began >= latenessWindow {
		f.previous, f.current, f.began = f.current, difference, now
	}
	f.current = min(f.current, difference)
	return difference - min(f.current, f.previous)
}
