package ingress

import "time"

// idlePolicy says how long a connection may be idle. It is immutable.
type idlePolicy struct {
	// limit is the limit in force.
	limit time.Duration
	// previous is the longest limit that callers may still go by, because it was in
	// force until shortly before previousUntil; 0 when there is none.
	previous      time.Duration
	previousUntil time.Time
}

// changed returns the policy after a change of the limit. Callers learn of the change
// within the notice.
func (p idlePolicy) changed(limit, notice time.Duration, now time.Time) idlePolicy {
	longest := p.limit
	if now.Before(p.previousUntil) {
		longest = max(longest, p.previous)
	}
	if longest <= limit {
		return idlePolicy{limit: limit}
	}
	return idlePolicy{limit: limit, previous: longest, previousUntil: now.Add(notice)}
}

// deadline returns when a connection that is idle since a moment is closed.
func (p idlePolicy) deadline(since time.Time) time.Time {
	deadline := since.Add(p.limit)
	known := since.Add(p.previous)
	if known.After(p.previousUntil) {
		known = p.previousUntil
	}
	if known.After(deadline) {
		return known
	}
	return deadline
}
