package gossip

import "github.com/uber-go/tally/v4"

// membershipGauges publishes the counters of the membership table and the
// quarantine list, including how often their limits were reached.
type membershipGauges struct {
	scope tally.Scope
}

func newMembershipGauges(scope tally.Scope) *membershipGauges {
	return &membershipGauges{scope: scope.SubScope("membership")}
}

func (g *membershipGauges) update(deps Dependencies) {
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
