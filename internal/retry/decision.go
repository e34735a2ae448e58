package retry

import "rosemaryladder.dev/rosemaryladder/internal/result"

// maxAttempts bounds the attempts that one node makes for one call.
const maxAttempts = 3

// Decision says whether a failed attempt may be retried and at what cost.
type Decision int

const (
	// NoRetry returns the failure to the caller.
	NoRetry Decision = iota
	// BudgetedRetry permits a retry if the budget covers it.
	BudgetedRetry
	// FreeRetry permits a retry that doesn't count against the budget.
	FreeRetry
)

// Decide returns whether the call may be retried at another backend server. It
// doesn't check the budget.
func Decide(failure Failure) Decision {
	if failure.Attempts >= maxAttempts || failure.Remaining <= 0 {
		return NoRetry
	}
	switch failure.Run {
	case result.NotRun:
		return decideNotRun(failure.Code)
	case result.RunUnknown:
		return decideRunUnknown(failure)
	default:
		return NoRetry
	}
}

// Allow reports whether the call may be retried now, and takes the cost of the retry
// from the budget.
func (b *Budget) Allow(failure Failure) bool {
	switch Decide(failure) {
	case FreeRetry:
		return true
	case BudgetedRetry:
		return b.take()
	default:
		return false
	}
}

// decideNotRun permits retries of refusals that depend on the server. Any other
// refusal would be the same at another server.
func decideNotRun(code result.Code) Decision {
	switch code {
	case result.Draining:
		return FreeRetry
	case result.Overloaded, result.ServerRefused, result.ServerGone, result.NoServer,
		result.NodeNotReady, result.NodeUnreachable, result.DeadlineNotRun:
		return BudgetedRetry
	default:
		return NoRetry
	}
}

// decideRunUnknown permits retries of an idempotent call unless it is nested in another
// call or its sender has retried it already, so that nested calls don't multiply
// retries.
func decideRunUnknown(failure Failure) Decision {
	if !failure.Idempotent || failure.AttemptHeader > 1 || failure.Depth > 0 {
		return NoRetry
	}
	// The request itself may have crashed the server. A second retry of a call that
	// may have run could crash a third server before the request is quarantined.
	if failure.Code != result.OutcomeUnknown || failure.Attempts > 1 {
		return NoRetry
	}
	return BudgetedRetry
}
