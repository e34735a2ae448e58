package burn

import (
	"fmt"
	"math"
	"time"
)

// Width and height of a plot in SVG units.
const (
	plotWidth  = 420.0
	plotHeight = 120.0
)

// Bar is one rectangle of a plot, in SVG units.
type Bar struct {
	X, Y, Width, Height float64
	Label               string
	Alarming            bool
}

// Line is a labelled vertical line of a plot at the x coordinate At.
type Line struct {
	At    float64
	Label string
}

// Plot is a bar chart with labelled vertical lines.
type Plot struct {
	Width, Height float64
	Bars          []Bar
	Lines         []Line
}

// minRateScale is the smallest burn rate at the right edge. It keeps the lines
// of both alerts inside the plot.
const minRateScale = 16.0

// newRatePlot draws the burn rates of the three windows as horizontal bars.
func newRatePlot(s Status) Plot {
	rates := []struct {
		name  string
		value float64
		limit float64
	}{
		{"5 m", s.BurnRate5m, FastBurnRate},
		{"1 h", s.BurnRate1h, FastBurnRate},
		{"6 h", s.BurnRate6h, SlowBurnRate},
	}
	scale := minRateScale
	for _, rate := range rates {
		scale = math.Max(scale, rate.value)
	}
	plot := Plot{Width: plotWidth, Height: plotHeight}
	step := plotHeight / float64(len(rates))
	for i, rate := range rates {
		plot.Bars = append(plot.Bars, Bar{
			Y:        float64(i)*step + step/4,
			Width:    rate.value / scale * plotWidth,
			Height:   step / 2,
			Label:    fmt.Sprintf("%s: %.2f", rate.name, rate.value),
			Alarming: rate.value >= rate.limit,
		})
	}
	plot.Lines = []Line{
		{At: SlowBurnRate / scale * plotWidth, Label: "slow alert 6"},
		{At: FastBurnRate / scale * plotWidth, Label: "fast alert 14.4"},
	}
	return plot
}

// newLatencyPlot draws the latency distribution on a logarithmic scale and
// marks the latency objective. The plot is empty when there are no latencies.
func newLatencyPlot(t TargetReport) Plot {
	plot := Plot{Width: plotWidth, Height: plotHeight}
	if len(t.Latencies) == 0 {
		return plot
	}
	limitMs := float64(t.Latency.Latency) / float64(time.Millisecond)
	low := math.Log(math.Min(t.Latencies[0].LowMs, limitMs))
	high := math.Log(math.Max(t.Latencies[len(t.Latencies)-1].HighMs, limitMs))
	position := func(ms float64) float64 { return (math.Log(ms) - low) / (high - low) * plotWidth }
	for _, bin := range t.Latencies {
		height := float64(bin.Calls) / float64(peakCalls(t.Latencies)) * plotHeight
		plot.Bars = append(plot.Bars, Bar{
			X:        position(bin.LowMs),
			Y:        plotHeight - height,
			Width:    position(bin.HighMs) - position(bin.LowMs),
			Height:   height,
			Label:    fmt.Sprintf("%.3g to %.3g ms: %d calls", bin.LowMs, bin.HighMs, bin.Calls),
			Alarming: bin.LowMs >= limitMs,
		})
	}
	plot.Lines = []Line{{At: position(limitMs), Label: "objective " + t.Latency.Latency.String()}}
	return plot
}

// peakCalls returns the largest number of calls in a bin, at least 1.
func peakCalls(bins []Bin) uint64 {
	peak := uint64(1)
	for _, bin := range bins {
		peak = max(peak, bin.Calls)
	}
	return peak
}
