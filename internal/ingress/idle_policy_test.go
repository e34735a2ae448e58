package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestIdlePolicyHonoursKnownLimits guards against a connection that is closed as idle
// although its caller reuses it within a limit that was in force less than the notice
// ago, and against one that stays open for longer than any limit which callers may
// still go by.
func TestIdlePolicyHonoursKnownLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const notice = 3 * time.Second
		start := time.Unix(1000, 0)
		at := start
		milliseconds := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(1, limit).Draw(t, name)) * time.Millisecond
		}
		first := milliseconds("limit", 20_000)
		policy, longest := idlePolicy{limit: first}, first
		type change struct {
			at    time.Time
			limit time.Duration
		}
		changes := []change{{start, first}}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			at = at.Add(milliseconds("pause", 5_000))
			limit := milliseconds("limit", 20_000)
			policy = policy.changed(limit, notice, at)
			changes, longest = append(changes, change{at, limit}), max(longest, limit)
		}
		since := at.Add(milliseconds("busy", 8_000) - 4*time.Second)
		deadline := policy.deadline(since)
		for i, c := range changes {
			// A caller may go by a limit until the notice of the next one has passed.
			knownUntil := since.Add(c.limit)
			if i+1 < len(changes) {
				if end := changes[i+1].at.Add(notice); knownUntil.After(end) {
					knownUntil = end
				}
			}
			if !knownUntil.After(since) || !knownUntil.After(at) {
				continue
			}
			if deadline.Before(knownUntil) {
				t.Fatalf("idle since %s, closed at %s, but a caller that goes by %s may use the connection until %s", since, deadline, c.limit, knownUntil)
			}
		}
		if deadline.After(since.Add(longest)) {
			t.Fatalf("idle since %s and closed at %s, after the longest limit %s", since, deadline, longest)
		}
		if end := at.Add(notice); deadline.After(end) && deadline.After(since.Add(policy.limit)) {
			t.Fatalf("closed at %s, after the notice that ends at %s and the limit in force %s", deadline, end, policy.limit)
		}
	})
}
