package burn

import "time"

// Burn rates at which an alert is raised (Google SRE Workbook, chapter 5).
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6
)

// ObjectiveKind is one of the two kinds of objective of a target.
type ObjectiveKind string

// The kinds of objective.
const (
	// SuccessObjective is the share of all calls that must succeed.
	SuccessObjective ObjectiveKind = "success"
	// LatencyObjective is the share of the successful calls that must complete
	// within the latency objective. Failed calls are excluded, because a server
	// that fails fast would otherwise improve the result.
	LatencyObjective ObjectiveKind = "latency"
)

// Status compares one objective of a target with the achieved values.
type Status struct {
	Target    string        `json:"target"`
	Region    string        `json:"region"`
	Objective ObjectiveKind `json:"objective"`
	// Percent is the required share of good calls.
	Percent float64 `json:"percent"`
	// Latency is the threshold of a latency objective; 0 for a success objective.
	Latency time.Duration `json:"latency_ns,omitempty"`
	// Calls is the number of calls over 6 h that the objective applies to.
	Calls uint64 `json:"calls"`
	// AchievedPercent is the share of good calls over 6 h.
	AchievedPercent float64 `json:"achieved_percent"`
	// BudgetLeftPercent is the unused share of the error budget of 6 h; negative
	// when the budget is exceeded.
	BudgetLeftPercent float64 `json:"budget_left_percent"`
	BurnRate5m        float64 `json:"burn_rate_5m"`
	BurnRate1h        float64 `json:"burn_rate_1h"`
	BurnRate6h        float64 `json:"burn_rate_6h"`
	FastAlert         bool    `json:"fast_alert"`
	SlowAlert         bool    `json:"slow_alert"`
}

// ratio holds the bad calls and all calls that an objective applies to.
type ratio struct{ bad, total uint64 }

func (r ratio) badShare() float64 {
	if r.total == 0 {
		return 0
	}
	return float64(r.bad) / float64(r.total)
}

func successRatio(c Counts) ratio { return ratio{c.Failed, c.Calls} }

func latencyRatio(c Counts) ratio { return ratio{c.Slow, c.Calls - c.Failed} }

// evaluate sets the achieved values. A burn rate is the share of bad calls
// divided by the share that the objective allows: at a rate of 1 the budget is
// used up exactly at the end of its period.
func (s *Status) evaluate(windows [windowCount]Counts, ratioOf func(Counts) ratio) {
	allowed := 1 - s.Percent/100
	rate := func(w Window) float64 { return ratioOf(windows[w]).badShare() / allowed }
	sixHours := ratioOf(windows[SixHours])
	s.Calls = sixHours.total
	s.AchievedPercent = 100 * (1 - sixHours.badShare())
	s.BurnRate5m = rate(FiveMinutes)
	s.BurnRate1h = rate(OneHour)
	s.BurnRate6h = rate(SixHours)
	s.BudgetLeftPercent = 100 * (1 - s.BurnRate6h)
	s.FastAlert = s.BurnRate5m >= FastBurnRate && s.BurnRate1h >= FastBurnRate
	s.SlowAlert = s.BurnRate6h >= SlowBurnRate
}
