package proxy

import "time"

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
	// waits holds the stated waits by route.
	waits *recentMaxima
}

func newPatience() *patience {
	return &patience{waits: newRecentMaxima(patienceWindow, maxPatientRoutes)}
}

// spent notes the wait that a request states and returns how much of the route's
// longest it lacks.
func (p *patience) spent(now time.Duration, route string, stated time.Duration) time.Duration {
	return p.waits.shortfall(now, route, stated)
}
