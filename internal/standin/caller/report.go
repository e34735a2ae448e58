package caller

import (
	"maps"
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// sketchAccuracy is the relative error of the latency percentiles.
const sketchAccuracy = 0.01

// Report holds the counts of one class of calls.
type Report struct {
	Sent int64 `json:"sent"`
	// Complete counts complete responses that match their request.
	Complete int64 `json:"whole"`
	// InTarget counts the complete responses within the objective of the class.
	InTarget int64 `json:"in_target"`
	// Refused counts the calls that were refused in the end, by result code.
	Refused map[string]int64 `json:"refused"`
	// Unknown counts the calls whose outcome stayed unknown.
	Unknown int64 `json:"unknown"`
	// Truncated counts the responses that ended early.
	Truncated int64 `json:"broken"`
	// Mismatched counts responses that belong to another request or have unexpected
	// content; there must be none.
	Mismatched int64 `json:"mismatched"`
	// Failed counts responses of the server with status 500 or above.
	Failed   int64 `json:"failed"`
	Repeated int64 `json:"repeated"`
	Skipped  int64 `json:"skipped"`
	// P50, P99 and P999 are latency percentiles of complete responses in milliseconds.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// Orders holds the outcome of each order by key.
	Orders map[string]string `json:"orders,omitempty"`

	mu     sync.Mutex
	sketch *ddsketch.DDSketch
}

func newReport() *Report {
	sketch, err := ddsketch.NewDefaultDDSketch(sketchAccuracy)
	if err != nil {
		panic(err)
	}
	return &Report{Refused: make(map[string]int64), Orders: make(map[string]string), sketch: sketch}
}

// add records the final outcome of one call. Only complete responses count towards the
// latencies.
func (r *Report) add(key string, o outcome, elapsed, objective time.Duration, listOrders bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.kind {
	case complete:
		r.Complete++
		if elapsed <= objective {
			r.InTarget++
		}
		// A duration is always within the range of the sketch.
		_ = r.sketch.Add(float64(elapsed) / float64(time.Millisecond))
	case refused:
		r.Refused[o.code]++
	case unknown:
		r.Unknown++
	case truncated:
		r.Truncated++
	case failed:
		r.Failed++
	case mismatched:
		r.Mismatched++
	}
	if listOrders && key != "" {
		r.Orders[key] = o.kind
	}
}

// finish computes the percentiles and returns a copy for printing.
func (r *Report) finish() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	quantiles, err := r.sketch.GetValuesAtQuantiles([]float64{0.5, 0.99, 0.999})
	if err == nil {
		r.P50, r.P99, r.P999 = quantiles[0], quantiles[1], quantiles[2]
	}
	return &Report{
		Sent: r.Sent, Complete: r.Complete, InTarget: r.InTarget, Refused: maps.Clone(r.Refused), Unknown: r.Unknown, Truncated: r.Truncated,
		Mismatched: r.Mismatched, Failed: r.Failed, Repeated: r.Repeated, Skipped: r.Skipped,
		P50: r.P50, P99: r.P99, P999: r.P999, Orders: maps.Clone(r.Orders),
	}
}

func (r *Report) increment(counter *int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}
