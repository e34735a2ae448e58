package node

import (
	"rosemaryladder.dev/rosemaryladder/internal/call"
	"rosemaryladder.dev/rosemaryladder/internal/retry"
)

// retryPolicy limits retries by the retry budget of the node.
type retryPolicy struct{ budget *retry.Budget }

// RecordFirstAttempt counts a first attempt.
func (p retryPolicy) RecordFirstAttempt() { p.budget.RecordFirstAttempt() }

// AllowRetry reports whether the call may be retried, and if so consumes budget.
func (p retryPolicy) AllowRetry(failure call.Failure) bool {
	converted := retry.Failure{
		Code:       failure.Code,
		Run:        failure.Run,
		Idempotent: failure.Idempotent,
		Attempts:   failure.Attempt,
		Remaining:  failure.Remaining,
	}
	if failure.Nested {
		converted.Depth = 1
	}
	return p.budget.Allow(converted)
}
