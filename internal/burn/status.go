package burn

import "time"

// Burn rates at which an alert is raised (Google SRE Workbook, chapter 5).
const (
	FastBurnRate = 14.4
	SlowBurnRate = 6
)

// ObjectiveKind tells the two objectives of a target apart.
type ObjectiveKind string

// The kinds of objective.
const (
	// SuccessObjective is the share of all calls that must succeed.
	SuccessObjective ObjectiveKind = "success"
	// LatencyObjective is the share of the successful calls that must be answered
	// within the latency objective. Failed calls are left out, since a server that
	// fails fast must not look fast.
	LatencyObjective ObjectiveKind = "latency"
)

// Status compares one objective of a target with what was achieved.
type Status struct {
	Target    string        `json:"target"`
	Region    string        `json:"region"`
	Objective ObjectiveKind `json:"objective"`
	// Percent is the share of calls that must be good.
	Percent float64 `json:"percent"`
	// Latency is the limit of a latency objective.
	Latency time.Duration `json:"latency_ns,omitempty"`
	// Calls is the number of calls over 6 h that the objective applies to.
	Calls uint64 `json:"calls"`
	// AchievedPercent is the share of good calls over 6 h.
	AchievedPercent float64 `json:"achieved_percent"`
	// BudgetLeftPercent is the share of the error budget of 6 h that is left;
	// negative when more was used.
	BudgetLeftPercent float64 `json:"budget_left_percent"`
	BurnRate5m        float64 `json:"burn_rate_5m"`
	BurnRate1h        float64 `json:"burn_rate_1h"`
	BurnRate6h        float64 `json:"burn_rate_6h"`
	FastAlert         bool    `json:"fast_alert"`
	SlowAlert         bool    `json:"slow_alert"`
}

// ratio is a number of bad calls out of all that an objective applies to.
type ratio struct{ bad, total uint64 }

func (r ratio) badShare() float64 {
	if r.total == 0 {
		return 0
	}
	return float64(r.bad) / float64(r.total)
}

func successRatio(c Counts) ratio { return ratio{c.Failed, c.Calls} }

func latencyRatio(c Counts) ratio { return ratio{c.Slow, c.Calls - c.Failed} }

// evaluate fills in what was achieved. The burn rate is the share of bad calls
// relative to the share that the objective allows: at 1 the budget is used up
// exactly at the end of its period.
func (s *Status) evaluate(windows [windowCount]Counts, ratioOf func(Counts) ratio) {
	allowed := 1 - s.Percent/100
	rate := func(w Window) float64 { return ratioOf(windows[w]).badShare() / allowed }
	whole := ratioOf(windows[SixHours])
	s.Calls = whole.total
	s.AchievedPercent = 100 * (1 - whole.badShare())
	s.BurnRate5m = rate(FiveMinutes)
	s.BurnRate1h = rate(OneHour)
	s.BurnRate6h = rate(SixHours)
	s.BudgetLeftPercent = 100 * (1 - s.BurnRate6h)
	s.FastAlert = s.BurnRate5m >= FastBurnRate && s.BurnRate1h >= FastBurnRate
	s.SlowAlert = s.BurnRate6h >= SlowBurnRate
}
