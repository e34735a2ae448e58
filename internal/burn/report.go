package burn

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// Quantiles holds latency quantiles of the successful calls over 1 h, in ms.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
}

// Bin counts the calls with a latency from LowMs up to HighMs, in ms.
type Bin struct {
	LowMs  float64 `json:"low_ms"`
	HighMs float64 `json:"high_ms"`
	Calls  uint64  `json:"calls"`
}

// TargetReport holds the status of the objectives of one target for the calls
// from one region.
type TargetReport struct {
	Target    string    `json:"target"`
	Service   string    `json:"service"`
	Region    string    `json:"region"`
	Success   Status    `json:"success"`
	Latency   Status    `json:"latency"`
	Quantiles Quantiles `json:"quantiles"`
	// Latencies is the latency distribution over 1 h in at most maxReportBins bins.
	Latencies []Bin `json:"latencies"`
}

// Report compares the objectives of all targets with the achieved values.
type Report struct {
	At      time.Time      `json:"at"`
	Targets []TargetReport `json:"targets"`
}

// NewReport evaluates the rows of an Aggregator against the targets in force.
// Rows of deleted targets are left out; targets without calls have no row.
func NewReport(rows []Row, targets []config.Target, now time.Time) Report {
	report := Report{At: now.UTC(), Targets: []TargetReport{}}
	byName := make(map[string]config.Target, len(targets))
	for _, target := range targets {
		byName[target.Name] = target
	}
	for _, row := range rows {
		if target, found := byName[row.Target]; found {
			report.Targets = append(report.Targets, newTargetReport(row, target))
		}
	}
	return report
}

func newTargetReport(row Row, target config.Target) TargetReport {
	success := Status{Target: row.Target, Region: row.Region, Objective: SuccessObjective, Percent: target.SuccessPercent}
	success.evaluate(row.Windows, successRatio)
	latency := Status{Target: row.Target, Region: row.Region, Objective: LatencyObjective, Percent: target.LatencyPercent, Latency: target.Latency}
	latency.evaluate(row.Windows, latencyRatio)
	return TargetReport{
		Target:    row.Target,
		Service:   target.Service,
		Region:    row.Region,
		Success:   success,
		Latency:   latency,
		Quantiles: quantilesOf(row.Latencies),
		Latencies: binsOf(row.Latencies),
	}
}

func quantilesOf(sketch *ddsketch.DDSketch) Quantiles {
	values, err := sketch.GetValuesAtQuantiles([]float64{0.5, 0.9, 0.99})
	if err != nil {
		return Quantiles{} // An empty sketch has no quantiles.
	}
	return Quantiles{P50: values[0], P90: values[1], P99: values[2]}
}

// maxReportBins is the largest number of bins of a distribution in a report.
const maxReportBins = 48

// binsOf returns the distribution in bins of equal width on a logarithmic
// scale; empty when the sketch is empty.
func binsOf(sketch *ddsketch.DDSketch) []Bin {
	bins := []Bin{}
	if sketch.IsEmpty() {
		return bins
	}
	positive := sketch.GetPositiveValueStore()
	first, _ := positive.MinIndex()
	last, _ := positive.MaxIndex()
	width := (last-first)/maxReportBins + 1
	for low := first; low <= last; low += width {
		bins = append(bins, Bin{LowMs: latencyMapping.LowerBound(low), HighMs: latencyMapping.LowerBound(low + width)})
	}
	positive.ForEach(func(index int, count float64) bool {
		bins[(index-first)/width].Calls += uint64(count)
		return false
	})
	return bins
}
