package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestServiceBudget guards against a retry beyond what the ratio and the slack permit
// in the window that ends with it.
func TestServiceBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		start := time.Unix(1000, 0)
		ratio, slack := 0.2, float64(rapid.IntRange(0, 5).Draw(t, "slack"))
		budget := NewServiceBudget(start, ratio, window)
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				budget.RecordRequest(now)
				requests = append(requests, now)
			}
			if !budget.TakeRetry(now, slack) {
				continue
			}
			retries = append(retries, now)
			since := now.Add(-window + window/windowBuckets)
			if got, allowed := count(retries, since), ratio*float64(count(requests, now.Add(-window)))+slack; float64(got) > allowed {
				t.Fatalf("%d retries in a window that permits %.1f", got, allowed)
			}
		}
	})
}

func count(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(since) {
			n++
		}
	}
	return n
}
