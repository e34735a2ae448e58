package slots

import "time"

// NoLimit is the rate that ends a limit.
const NoLimit = -1

const (
	// burstTime is the time for which unused starts are kept, so that a burst of
	// requests need not be spread evenly.
	burstTime = 250 * time.Millisecond
	// minRate is the rate of a limit that is lower, in requests a second. A server says
	// only in its responses that its limit has ended, so it needs a request now and then.
	minRate = 0.5
	// tokenTolerance covers the rounding of a wait to nanoseconds.
	tokenTolerance = 1e-6
)

// rateLimit is a token bucket (Turner, IEEE Communications Magazine 24(10), 1986): a
// request starts for one token, and tokens come at a fixed rate.
type rateLimit struct {
	// perSecond is the rate in requests a second.
	perSecond float64
	tokens    float64
	updatedAt time.Time
}

func newRateLimit(now time.Time, perSecond float64) *rateLimit {
	return &rateLimit{perSecond: perSecond, tokens: 1, updatedAt: now}
}

// setRate changes the rate from now on.
func (l *rateLimit) setRate(now time.Time, perSecond float64) {
	l.refill(now)
	l.perSecond = perSecond
	l.tokens = min(l.tokens, l.burst())
}

func (l *rateLimit) burst() float64 { return max(1, l.perSecond*burstTime.Seconds()) }

func (l *rateLimit) refill(now time.Time) {
	l.tokens = min(l.burst(), l.tokens+max(0, now.Sub(l.updatedAt).Seconds())*l.perSecond)
	l.updatedAt = now
}

// take takes a token if there is one.
func (l *rateLimit) take(now time.Time) bool {
	l.refill(now)
	if l.tokens < 1-tokenTolerance {
		return false
	}
	l.tokens--
	return true
}

// charge takes a token also when there is none, for a request that is sent anyway.
func (l *rateLimit) charge(now time.Time) {
	l.refill(now)
	l.tokens--
}

// waitFor returns the time until a number of tokens has come; 0 when they are there.
func (l *rateLimit) waitFor(now time.Time, tokens int) time.Duration {
	l.refill(now)
	return time.Duration(max(0, float64(tokens)-l.tokens) / l.perSecond * float64(time.Second))
}
