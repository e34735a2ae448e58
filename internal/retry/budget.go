// Package retry decides whether a failed attempt of a call may be retried.
//
// It owns the retry budgets of the node. When a budget is exhausted, the failure is
// returned to the caller.
package retry

import "sync/atomic"

const (
	// tokensPerRetry is the cost of a retry in tokens. A first attempt adds one
	// token, so that retries stay within a tenth of the calls.
	tokensPerRetry = 10
	// maxBurst is the number of retries that a full budget permits at once.
	maxBurst = 10
)

// Budget is a token bucket that first attempts fill and retries drain. It is safe
// for concurrent use and lock-free.
type Budget struct {
	tokens atomic.Int64
	denied atomic.Uint64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	budget := &Budget{}
	budget.tokens.Store(maxBurst * tokensPerRetry)
	return budget
}

// RecordFirstAttempt adds the token of a call's first attempt, unless the budget is
// full.
func (b *Budget) RecordFirstAttempt() {
	for {
		tokens := b.tokens.Load()
		if tokens >= maxBurst*tokensPerRetry || b.tokens.CompareAndSwap(tokens, tokens+1) {
			return
		}
	}
}

// Denied returns the number of retries that were denied since NewBudget.
func (b *Budget) Denied() uint64 { return b.denied.Load() }

// take removes the tokens of one retry; false when there are too few.
func (b *Budget) take() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			b.denied.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}
