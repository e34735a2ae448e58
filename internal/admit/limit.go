package admit

import "time"

const (
	// rampDuration is the time in which the limit of a server that has just
	// become ready grows from one call to all slots.
	rampDuration = 10 * time.Second
	// recoveryDuration is the time in which the limit would grow from 0 to all
	// slots after the server refused a call.
	recoveryDuration = 2 * time.Second
)

// limit is the concurrency limit: the capacity of the server, reduced during
// the ramp and for a short time after the server refused a call.
type limit struct {
	capacity  Capacity
	reducedTo float64
	reducedAt time.Time
}

// at returns the limit at the given time. It is at least 1 unless the server
// has no capacity.
func (l *limit) at(now time.Time) int {
	full := l.capacity.concurrency()
	if full == 0 {
		return 0
	}
	reduced := min(l.ramp(now, full), l.recovery(now, full))
	return max(1, min(full, int(reduced)))
}

// reduce lowers the limit below the concurrency at which the server refused a
// call.
func (l *limit) reduce(now time.Time, running int) {
	l.reducedTo = float64(max(1, min(running, l.at(now))-1))
	l.reducedAt = now
}

func (l *limit) ramp(now time.Time, full int) float64 {
	age := now.Sub(l.capacity.ReadySince)
	if age >= rampDuration {
		return float64(full)
	}
	return 1 + float64(full-1)*max(0, age.Seconds())/rampDuration.Seconds()
}

func (l *limit) recovery(now time.Time, full int) float64 {
	if l.reducedAt.IsZero() {
		return float64(full)
	}
	elapsed := max(0, now.Sub(l.reducedAt).Seconds())
	return l.reducedTo + float64(full)*elapsed/recoveryDuration.Seconds()
}
