package node

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// fleet serves operators' queries about the whole fleet from the aggregated
// reports of the nodes.
type fleet struct {
	relay  *relay.Relay
	holder *config.Holder
	view   func() *member.View
	now    func() time.Time
}

// Status returns which configuration versions the fleet has in force.
func (f fleet) Status(ctx context.Context) (operator.FleetStatus, error) {
	totals := f.relay.Fleet(ctx)
	status := operator.FleetStatus{
		Accepted:           max(totals.Accepted, f.holder.Current().Version()),
		Domains:            []operator.DomainStatus{},
		Laggards:           []operator.Laggard{},
		UnreachableRegions: f.unreachableRegions(),
		PartialReason:      totals.PartialReason,
	}
	for _, domain := range totals.Domains {
		converted := convertDomain(domain, status.Accepted)
		status.Nodes += converted.Nodes
		status.InForce += converted.InForce
		status.Domains = append(status.Domains, converted)
	}
	for _, laggard := range totals.Laggards {
		status.Laggards = append(status.Laggards, operator.Laggard{
			Host:          laggard.Node,
			FailureDomain: laggard.FailureDomain,
			Version:       laggard.Version,
			Age:           time.Duration(laggard.AgeMs) * time.Millisecond,
			Reason:        laggard.Reason,
		})
	}
	return status, nil
}

func convertDomain(domain relay.DomainStatus, accepted uint64) operator.DomainStatus {
	converted := operator.DomainStatus{
		Region:        domain.Region,
		FailureDomain: domain.FailureDomain,
		Nodes:         max(domain.Expected, domain.Reported),
	}
	for i, count := range domain.Versions {
		if count.Version >= accepted {
			converted.InForce += count.Nodes
		}
		if i == 0 || count.Version < converted.Oldest {
			converted.Oldest = count.Version
		}
	}
	return converted
}

func (f fleet) unreachableRegions() []string {
	view := f.view()
	var unreachable []string
	checked := make(map[string]bool)
	for _, record := range view.Nodes() {
		if !checked[record.Region] && !view.RegionReachable(record.Region) {
			unreachable = append(unreachable, record.Region)
		}
		checked[record.Region] = true
	}
	return unreachable
}

// Burn returns the service-level report of the fleet.
func (f fleet) Burn(ctx context.Context) (burn.Report, error) {
	statistics, err := f.relay.FleetStatistics(ctx)
	if err != nil {
		return burn.Report{}, err
	}
	rows, err := burn.Decode(statistics, burn.DefaultConfig())
	if err != nil {
		return burn.Report{}, result.Wrap(err, result.Internal, "decode the statistics of the fleet")
	}
	return burn.NewReport(rows, f.holder.Current().Document().Targets, f.now()), nil
}
