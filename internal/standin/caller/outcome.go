package caller

// The kinds of outcome.
const (
	complete   = "whole"
	refused    = "refused"
	unknown    = "unknown"
	truncated  = "broken"
	failed     = "failed"
	mismatched = "mismatched"
)

// outcome is the result of a call as its caller knows it.
type outcome struct {
	kind string
	// code is the result code of a refusal.
	code string
}

// mayRepeat reports whether a repeat of a non-idempotent call with the same key may
// determine its outcome.
func (o outcome) mayRepeat() bool { return o.kind == unknown || o.kind == truncated }

// combine returns the outcome of a call whose earlier attempt had outcome o and whose
// repeat had outcome next. A refused repeat does not reveal the outcome of the earlier
// attempt.
func (o outcome) combine(next outcome) outcome {
	if next.kind == refused {
		return o
	}
	return next
}
