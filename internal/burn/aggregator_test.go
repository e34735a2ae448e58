package burn

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

// TestSum guards against sums that depend on the order or the number of reports,
// and against sketches whose quantiles are wrong after merging.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, relayed := newSum(t), newSum(t)
		relays := []*Aggregator{newSum(t), newSum(t), newSum(t)}
		var calls, failed uint64
		for node := range rapid.IntRange(1, 6).Draw(t, "nodes") {
			w, err := NewWindowRecorder(DefaultConfig(), fmt.Sprint("region-", node%2), objective)
			if err != nil {
				t.Fatal(err)
			}
			relay := relays[rapid.IntRange(0, 2).Draw(t, "relay")]
			for range rapid.IntRange(1, 5).Draw(t, "reports") {
				for range rapid.IntRange(1, 20).Draw(t, "calls") {
					success := rapid.Bool().Draw(t, "success")
					w.Record(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"), time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond, success)
					calls++
					if !success {
						failed++
					}
				}
				own := newSum(t)
				clock := func() time.Time { return start }
				data := NewCollector(w, own, "own", tally.NoopScope, clock).EncodeReport("")
				for range rapid.IntRange(1, 3).Draw(t, "times") {
					set(t, relay, fmt.Sprint(node), data)
				}
				set(t, direct, fmt.Sprint(node), data)
			}
		}
		for i, relay := range relays {
			set(t, relayed, fmt.Sprint("relay-", i), Encode(relay.Rows("", start)))
			set(t, relayed, fmt.Sprint("relay-", i), Encode(relay.Rows("", start)))
		}
		if a, b := Encode(direct.Rows("", start)), Encode(relayed.Rows("", start)); !bytes.Equal(a, b) {
			t.Fatal("sums through relays differ from direct ones")
		}
		var sum Counts
		for _, region := range []string{"region-0", "region-1"} {
			for _, row := range relayed.Rows(region, start) {
				sum.add(row.Windows[SixHours])
			}
		}
		if sum.Calls != calls || sum.Failed != failed {
			t.Fatalf("sum %+v, want %d calls and %d failed", sum, calls, failed)
		}
		if rows := relayed.Rows("", start.Add(time.Minute)); len(rows) != 0 {
			t.Fatal("parts that were not replaced are still counted")
		}
	})
}

func newSum(t rapid.TB) *Aggregator {
	s, err := NewAggregator(DefaultConfig())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func set(t rapid.TB, s *Aggregator, child string, data []byte) {
	if err := s.SetEncoded(child, data, start); err != nil {
		t.Fatal(err)
	}
}

// FuzzDecode guards against reports from other nodes that stop a node or bring
// contradictory numbers into its sums.
func FuzzDecode(f *testing.F) {
	w := newWindows(f)
	for i := range 100 {
		w.Record("lookups", time.Duration(i)*time.Millisecond, i%7 != 0)
	}
	f.Add(Encode(w.Rows(start)))
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x02, 0x22, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := Decode(data, DefaultConfig())
		if err != nil {
			return
		}
		for _, row := range rows {
			if count := row.Latencies.GetCount(); !(count >= 0 && count < math.MaxFloat64) {
				t.Fatalf("decoded %g latencies", count)
			}
		}
		again, err := Decode(Encode(rows), DefaultConfig())
		if err != nil || !bytes.Equal(Encode(again), Encode(rows)) {
			t.Fatalf("decoded rows change when they are encoded again: %v", err)
		}
	})
}

// TestEncodedSize reports the size of a report and guards against one that no
// longer fits the limits of a node.
func TestEncodedSize(t *testing.T) {
	w := newWindows(t)
	for i := range 200_000 {
		latency := time.Duration(math.Exp(float64(i%1000)/200) * float64(time.Millisecond))
		w.Record(fmt.Sprintf("target-%d", i%5), latency, i%100 != 0)
	}
	size := len(Encode(w.Rows(start)))
	t.Logf("5 targets, latencies from 1 to 148 ms: %d bytes, %.0f bytes/s at one report in 10 s", size, float64(size)/10)
	if size > 7000 {
		t.Errorf("a report has %d bytes, want at most 10 s of a tenth of 7 KB/s", size)
	}
}
