package proxy

import "time"

const (
	// callerTimeoutWindow is the window of the longest stated timeout of a route, so
	// that one that callers no longer use expires.
	callerTimeoutWindow = 20 * time.Second
	// maxTimeoutRoutes bounds the number of tracked routes.
	maxTimeoutRoutes = 512
)

// callerTimeouts learns the full timeout of the callers of each route, counted from
// their first attempt. A caller that states a shorter one has spent the rest on
// earlier attempts, so that its request is due earlier.
type callerTimeouts struct {
	// stated holds the stated timeouts by route.
	stated *recentMaxima
}

func newCallerTimeouts() *callerTimeouts {
	return &callerTimeouts{stated: newRecentMaxima(callerTimeoutWindow, maxTimeoutRoutes)}
}

// elapsed records the timeout that a request states and returns how much shorter it is
// than the longest recent one of the route, which is the time already spent.
func (t *callerTimeouts) elapsed(now time.Duration, route string, stated time.Duration) time.Duration {
	return t.stated.shortfall(now, route, stated)
}
