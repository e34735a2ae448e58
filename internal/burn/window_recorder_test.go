package burn

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 5, 17, 0, 0, 0, 0, time.UTC)

func objective(string) time.Duration { return 100 * time.Millisecond }

func newWindowRecorder(t testing.TB) *WindowRecorder {
	w, err := NewWindowRecorder(DefaultConfig(), "trondelag", objective)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

// TestWindowRecorderCountsEachCallOnce guards against calls that are lost or
// counted twice while calls and collections run concurrently.
func TestWindowRecorderCountsEachCallOnce(t *testing.T) {
	w := newWindowRecorder(t)
	const callers, calls = 8, 5000
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(caller), 0))
			for i := range calls {
				w.Record("lookups", time.Duration(1+random.IntN(200))*time.Millisecond, i%10 != 0)
			}
		})
	}
	for range 50 {
		w.Rows(start)
	}
	group.Wait()
	row := w.Rows(start)[0]
	counts := row.Windows[SixHours]
	if counts.Calls != callers*calls || counts.Failed != callers*calls/10 {
		t.Errorf("counted %+v", counts)
	}
	if successful := float64(counts.Calls - counts.Failed); row.Latencies.GetCount() != successful {
		t.Errorf("%g latencies, want %g", row.Latencies.GetCount(), successful)
	}
	if share := float64(counts.Slow) / float64(counts.Calls-counts.Failed); math.Abs(share-0.5) > 0.03 {
		t.Errorf("a share of %.3f is slow, want about 0.5", share)
	}
}

// TestWindowRecorderExpiresCalls guards against calls that leave a window too
// late or too early, also when the clock is set back.
func TestWindowRecorderExpiresCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, err := NewWindowRecorder(DefaultConfig(), "r", objective)
		if err != nil {
			t.Fatal(err)
		}
		now, latest := start, start
		var calledAt []time.Time
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(-60, 3600).Draw(t, "seconds")) * time.Second)
			w.Record("t", time.Millisecond, true)
			if now.After(latest) {
				latest = now
			}
			calledAt = append(calledAt, latest)
			counts := w.Rows(now)[0].Windows
			for window := range windowCount {
				// A window is accurate to one slot. While the clock is behind its latest
				// reading, calls are counted at that reading.
				least := countSince(calledAt, latest.Add(-window.Length()+slotLength))
				most := countSince(calledAt, latest.Add(-window.Length()))
				if got := int(counts[window].Calls); got < least || got > most {
					t.Fatalf("%d calls in the last %s, want %d to %d", got, window.Length(), least, most)
				}
			}
		}
		if rows := w.Rows(latest.Add(6 * time.Hour)); len(rows) != 0 || len(*w.targets.Load()) != 0 {
			t.Fatalf("%d rows and %d targets are left after 6 h", len(rows), len(*w.targets.Load()))
		}
	})
}

func countSince(times []time.Time, from time.Time) int {
	return len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(from) }))
}

func BenchmarkRecord(b *testing.B) {
	w := newWindowRecorder(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w.Record("lookups", 3*time.Millisecond, true)
		}
	})
}
