package proxy

import "time"

const (
	// transitWindow is the window of the fastest request of an outbound proxy, so that
	// the estimate follows a path that becomes longer.
	transitWindow = 10 * time.Second
	// maxClocks bounds the number of tracked clocks.
	maxClocks = 4096
)

// transitDelay measures how much longer a request was in transit than the fastest
// recent one of its outbound proxy. The boot-time clocks of two hosts have different
// origins but run at the same rate, so the difference of their readings is the
// transit time plus a constant.
type transitDelay struct {
	// offsets holds, by clock ID, the largest recent difference between the sender's
	// reading and the local one, which is that of the fastest request.
	offsets *recentMaxima
}

func newTransitDelay() *transitDelay {
	return &transitDelay{offsets: newRecentMaxima(transitWindow, maxClocks)}
}

// excess returns the transit time in excess of the fastest request, for a request that
// was sent at the reading sent of the outbound proxy's clock and received at now.
func (d *transitDelay) excess(clockID string, sent, now time.Duration) time.Duration {
	return d.offsets.shortfall(now, clockID, sent-now)
}
