package proxy

import (
	"sync"
	"time"
)

const (
	// patienceWindow is how long the longest stated wait of a route counts, so that
	// one that callers no longer state is forgotten.
	patienceWindow = 20 * time.Second
	// maxPatientRoutes bounds the routes that are remembered.
	maxPatientRoutes = 512
)

// patience learns how long the callers of each route wait from their first
// attempt on. A caller that states less has spent the rest already, so that its
// request is due earlier.
type patience struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest is the longest wait of the current and of the previous window.
type longest struct {
	current, previous time.Duration
	began             time.Time
}

func newPatience() *patience { return &patience{routes: make(map[string]*longest)} }

// spent notes the wait that a request states and returns how much of the route's
// longest it lacks.
func (p *patience) spent(now time.Time, route string, stated time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[route]
	if l == nil {
		if len(p.routes) >= maxPatientRoutes {
			clear(p.routes)
		}
		l = &longest{began: now}
		p.routes[route] = l
	}
	if now.Sub(l.began) >= patienceWindow {
		l.previous, l.current, l.began = l.current, 0, now
	}
	l.current = max(l.current, stated)
	return max(l.current, l.previous) - stated
}
