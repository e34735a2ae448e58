package admit

import "time"

// overloadDelay is how long the queue must contain calls that are expected to
// miss their objective before load is shed. Calls of a shorter burst are served
// late instead.
const overloadDelay = 100 * time.Millisecond

// overload distinguishes sustained overload from a burst.
type overload struct {
	since time.Time
}

// observe records whether a new call is expected to miss its objective and
// reports whether the overload is sustained.
func (o *overload) observe(now time.Time, late bool) bool {
	if late && o.since.IsZero() {
		o.since = now
	}
	return o.sustained(now)
}

// sustained reports whether the overload has lasted for at least overloadDelay.
func (o *overload) sustained(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) >= overloadDelay
}

// clear ends the overload once the queue is empty.
func (o *overload) clear() {
	o.since = time.Time{}
}
