package proxy

import "time"

const (
	// latenessWindow is how long the fastest request of a front counts, so that a
	// longer way is learned.
	latenessWindow = 10 * time.Second
	// maxClocks bounds the clocks that are known.
	maxClocks = 4096
)

// lateness tells how much longer a request was on its way than the fastest one of
// its front. The hosts' clocks that count suspensions have different origins, but
// run at the same rate, so the difference of their readings is the time on the way
// and a constant.
type lateness struct {
	// headStarts holds, by clock, how far the sender's reading was ahead.
	headStarts *recentMaxima
}

func newLateness() *lateness {
	return &lateness{headStarts: newRecentMaxima(latenessWindow, maxClocks)}
}

// of returns how late a request is that arrives now and that was sent at a reading
// of the front's clock.
func (l *lateness) of(clock string, sent, now time.Duration) time.Duration {
	return l.headStarts.shortfall(now, clock, sent-now)
}
