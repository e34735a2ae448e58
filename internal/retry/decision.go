package retry

import "rosemaryladder.dev/rosemaryladder/internal/result"

// maxAttempts bounds the attempts of one node for one call.
const maxAttempts = 3

// Decision says what follows from a failed attempt.
type Decision int

// The decisions.
const (
	// NoRetry passes the failure on to the caller.
	NoRetry Decision = iota
	// BudgetedRetry allows a retry that uses the budget.
	BudgetedRetry
	// FreeRetry allows a retry that uses no budget.
	FreeRetry
)

// Decide returns whether the call may be tried at another backend server, before
// the budget is asked.
func Decide(failure Failure) Decision {
	if failure.Attempts >= maxAttempts || failure.Remaining <= 0 {
		return NoRetry
	}
	switch failure.Run {
	case result.NotRun:
		return decideNotRun(failure.Code)
	case result.RunUnknown:
		return decideHandedOver(failure)
	default:
		return NoRetry
	}
}

// Allow decides and pays for the retry. The caller may try again when it returns
// true.
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

// decideNotRun allows retries of refusals that depend on the server. Any other
// refusal would be the same elsewhere.
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

// decideHandedOver allows retries of idempotent calls at the outermost layer
// only, so that nested calls do not multiply retries.
func decideHandedOver(failure Failure) Decision {
	if !failure.Idempotent || failure.AttemptHeader > 1 || failure.Depth > 0 {
		return NoRetry
	}
	// The request itself may have stopped the server. A second retry after
	// hand-over could stop a third server before the quarantine knows it.
	if failure.Code != result.OutcomeUnknown || failure.Attempts > 1 {
		return NoRetry
	}
	return BudgetedRetry
}
