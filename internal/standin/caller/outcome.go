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

// outcome is what a caller knows of a call.
type outcome struct {
	kind string
	// code is the result code of a refusal.
	code string
}

// mayRepeat reports whether a non-idempotent call is worth repeating with its
// key.
func (o outcome) mayRepeat() bool { return o.kind == unknown || o.kind == truncated }

// after returns the outcome of a call whose earlier attempt had outcome o. A
// later refusal does not tell what became of the earlier attempt.
func (o outcome) combine(next outcome) outcome {
	if next.kind == refused {
		return o
	}
	return next
}
