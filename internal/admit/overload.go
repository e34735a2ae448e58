package admit

import "time"

// overloadDelay is how long the queue must hold calls that will miss their
// objective before calls are shed. A shorter burst is served late instead.
const overloadDelay = 100 * time.Millisecond

// overload tells sustained overload from a burst.
type overload struct {
	since time.Time
}

// observe records whether an arriving call is expected to miss its objective and
// reports whether the overload is sustained.
func (o *overload) observe(now time.Time, late bool) bool {
	if late && o.since.IsZero() {
		o.since = now
	}
	return o.sustained(now)
}

// sustained reports whether the queue has been too long for overloadDelay.
func (o *overload) sustained(now time.Time) bool {
	return !o.since.IsZero() && now.Sub(o.since) >= overloadDelay
}

// clear ends the overload; the queue is empty.
func (o *overload) clear() {
	o.since = time.Time{}
}
