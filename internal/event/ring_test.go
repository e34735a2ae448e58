package event_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// TestRingKeepsNewestEvents guards against events that are returned in the
// wrong order or overwritten too early, and against refusals that displace
// state changes.
func TestRingKeepsNewestEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		ring := event.NewRing("h1", 16, func() time.Time { now = now.Add(time.Second); return now })
		changes := rapid.IntRange(0, 8).Draw(t, "changes")
		for range changes {
			ring.Record(event.Event{Kind: event.KindConfig})
		}
		refusals := rapid.IntRange(0, 50).Draw(t, "refusals")
		for range refusals {
			ring.Record(event.Event{Kind: event.KindRefusal})
		}
		if kept := ring.Select(event.Query{Kind: event.KindConfig}); len(kept) != changes {
			t.Fatalf("%d of %d changes are kept after %d refusals", len(kept), changes, refusals)
		}
		all := ring.Select(event.Query{})
		if len(all) != changes+min(refusals, 8) || ring.Overwritten() != uint64(max(refusals-8, 0)) {
			t.Fatalf("%d events are kept, %d were overwritten", len(all), ring.Overwritten())
		}
		for i := 1; i < len(all); i++ {
			if all[i].At.After(all[i-1].At) {
				t.Fatalf("event %d is newer than the one before", i)
			}
		}
	})
}
