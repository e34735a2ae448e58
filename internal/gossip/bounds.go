package gossip

import "github.com/uber-go/tally/v4"

// boundGauges show how often the bounds of the table and of the quarantine list
// were hit, and what the table decided.
type boundGauges struct {
	scope tally.Scope
}

func newBoundGauges(scope tally.Scope) *boundGauges {
	return &boundGauges{scope: scope.SubScope("membership")}
}

// update copies the counters of the table and of the quarantine list.
func (g *boundGauges) update(deps Dependencies) {
	stats := deps.Table.Stats()
	values := map[string]uint64{
		"records":             uint64(len(deps.Table.View().Nodes())),
		"refused_records":     stats.Dropped,
		"truncated_records":   stats.Truncated,
		"evicted_records":     stats.Evicted,
		"invalid_records":     stats.Invalid,
		"suspicions":          stats.Suspicions,
		"deaths":              stats.Deaths,
		"refutations":         stats.Refutations,
		"outbids":             stats.Outbids,
		"pauses":              stats.Pauses,
		"quarantine_dropped":  deps.Quarantine.Dropped(),
		"quarantine_requests": uint64(len(deps.Quarantine.Blocks(deps.Now()))),
	}
	for name, value := range values {
		g.scope.Gauge(name).Update(float64(value))
	}
}
