// Package retry decides whether a failed attempt of a call may be tried again.
//
// It owns the retry budget of the node. When the budget is empty the failure is
// passed on to the caller.
package retry

import "sync/atomic"

const (
	// tokensPerRetry is the price of a retry in units of one first attempt, so
	// that retries stay within a tenth of the calls.
	tokensPerRetry = 10
	// burst is the number of retries that a full budget allows at once.
	burst = 10
)

// Budget is a token bucket that first attempts fill. It is safe for concurrent
// use and takes no lock.
type Budget struct {
	tokens atomic.Int64
	denied atomic.Uint64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	budget := &Budget{}
	budget.tokens.Store(burst * tokensPerRetry)
	return budget
}

// RecordFirstAttempt counts a call that is attempted for the first time.
func (b *Budget) RecordFirstAttempt() {
	for {
		tokens := b.tokens.Load()
		if tokens >= burst*tokensPerRetry || b.tokens.CompareAndSwap(tokens, tokens+1) {
			return
		}
	}
}

// Denied returns the number of retries that the budget did not allow.
func (b *Budget) Denied() uint64 { return b.denied.Load() }

// take pays for one retry; false when the budget is empty.
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
