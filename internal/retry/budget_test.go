package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestRetryProperties guards against running a non-idempotent call twice, retries that
// nested calls multiply, retries of refusals that would be the same at any server,
// and retries beyond the budget.
func TestRetryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget()
		calls, budgeted := 0, 0
		for range rapid.IntRange(50, 300).Draw(t, "calls") {
			budget.RecordFirstAttempt()
			calls++
			failure := drawFailure(t)
			for budget.Allow(failure) {
				checkRetry(t, failure)
				if failure.Code != result.Draining {
					budgeted++
				}
				failure.Attempts++
			}
			if float64(budgeted) > maxBurst+0.1*float64(calls) {
				t.Fatalf("%d budgeted retries of %d calls exceed the budget", budgeted, calls)
			}
		}
	})
}

func drawFailure(t *rapid.T) Failure {
	code := rapid.SampledFrom(result.Table()).Draw(t, "code").Code
	if rapid.Bool().Draw(t, "retryable") {
		code = rapid.SampledFrom([]result.Code{result.Overloaded, result.OutcomeUnknown, result.Draining}).Draw(t, "code")
	}
	run := result.RunStateOf(code)
	if code == result.OK {
		run = result.Ran
	}
	return Failure{
		Code:          code,
		Run:           run,
		Idempotent:    rapid.Bool().Draw(t, "idempotent"),
		Attempts:      rapid.SampledFrom([]int{1, 1, 1, 2, 3}).Draw(t, "attempts"),
		AttemptHeader: rapid.IntRange(0, 3).Draw(t, "header"),
		Depth:         rapid.IntRange(0, 2).Draw(t, "depth"),
		Remaining:     time.Duration(rapid.SampledFrom([]int{1, 1, 0, -1}).Draw(t, "remaining")) * time.Second,
	}
}

func checkRetry(t *rapid.T, f Failure) {
	mayHaveRun := f.Run != result.NotRun
	switch {
	case f.Run == result.Ran:
		t.Fatalf("retried a call that ran to its end: %+v", f)
	case mayHaveRun && !f.Idempotent:
		t.Fatalf("retried a non-idempotent call that may have run: %+v", f)
	case mayHaveRun && (f.AttemptHeader > 1 || f.Depth > 0):
		t.Fatalf("retried a nested call that may have run: %+v", f)
	case mayHaveRun && f.Attempts > 1:
		t.Fatalf("retried twice a call that may have run: %+v", f)
	case f.Attempts >= 3 || f.Remaining <= 0:
		t.Fatalf("retried after the last attempt or the deadline: %+v", f)
	case f.Code == result.Quarantined || f.Code == result.KeyReused || f.Code == result.RepeatUnknown:
		t.Fatalf("retried a refusal that is the same at any server: %+v", f)
	}
}

// TestAllowedRetries guards against denying every retry, which TestRetryProperties
// would accept.
func TestAllowedRetries(t *testing.T) {
	for code, want := range map[result.Code]Decision{
		result.Overloaded: BudgetedRetry, result.ServerRefused: BudgetedRetry, result.ServerGone: BudgetedRetry,
		result.Draining: FreeRetry, result.OutcomeUnknown: BudgetedRetry, result.ClaimUnavailable: NoRetry,
	} {
		failure := Failure{Code: code, Run: result.RunStateOf(code), Idempotent: true, Attempts: 1, Remaining: time.Second}
		if got := Decide(failure); got != want {
			t.Errorf("%s: decision %d, want %d", result.Describe(code).Name, got, want)
		}
	}
}
