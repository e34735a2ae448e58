package relay

import (
	"cmp"
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Fleet is the configuration state of the nodes of all regions.
type Fleet struct {
	// Accepted is the newest version known.
	Accepted uint64         `json:"accepted"`
	Domains  []DomainStatus `json:"domains"`
	// Laggards are the nodes known to be behind, the longest behind first, at
	// most 64.
	Laggards []Laggard `json:"laggards"`
	// PartialReason says why the totals cover only part of the fleet; empty
	// when the readers responded.
	PartialReason string `json:"partial,omitempty"`
}

// DomainStatus counts the nodes of one failure domain.
type DomainStatus struct {
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Expected is the number of nodes according to the membership; Reported is
	// the number of nodes whose version is known.
	Expected int `json:"expected"`
	Reported int `json:"reported"`
	// Versions holds the number of nodes by version, newest first.
	Versions []VersionCount `json:"versions"`
}

// VersionCount is the number of nodes that have a version in force.
type VersionCount struct {
	Version uint64 `json:"version"`
	Nodes   int    `json:"nodes"`
}

// Laggard is a node behind the newest version.
type Laggard struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Version       uint64 `json:"version"`
	AgeMs         uint32 `json:"age_ms"`
	Reason        string `json:"reason"`
}

// InForce reports whether every expected node has the version or a newer one in
// force. It is false when no failure domain is known.
func (f *Fleet) InForce(version uint64) bool {
	for _, domain := range f.Domains {
		if domain.nodesAtLeast(version) < max(domain.Expected, domain.Reported) {
			return false
		}
	}
	return len(f.Domains) > 0
}

func (d *DomainStatus) nodesAtLeast(version uint64) int {
	nodes := 0
	for _, count := range d.Versions {
		if count.Version >= version {
			nodes += count.Nodes
		}
	}
	return nodes
}

// NewFleet compares a merged report with the membership. Suspected nodes are
// added to the laggards when no report lists them.
func NewFleet(report *controlpb.Report, view *member.View) *Fleet {
	fleet := &Fleet{Accepted: report.GetAccepted().GetVersion(), Laggards: []Laggard{}}
	for _, record := range allRecords(view) {
		if record.State == member.Dead || record.State == member.Left {
			continue
		}
		fleet.domainStatus(record.Region, record.FailureDomain).Expected++
	}
	for _, domain := range report.GetDomains() {
		fleet.domainStatus(domain.Region, domain.FailureDomain).add(domain)
	}
	for _, laggard := range report.GetLaggards() {
		fleet.Laggards = append(fleet.Laggards, Laggard{
			Node: laggard.Node, FailureDomain: laggard.FailureDomain, Version: laggard.Version, AgeMs: laggard.AgeMs, Reason: laggard.Reason,
		})
	}
	fleet.addSuspects(view)
	slices.SortFunc(fleet.Domains, func(a, b DomainStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return fleet
}

// domainStatus returns the status of a failure domain and adds it when missing.
func (f *Fleet) domainStatus(region, failureDomain string) *DomainStatus {
	for i := range f.Domains {
		if f.Domains[i].Region == region && f.Domains[i].FailureDomain == failureDomain {
			return &f.Domains[i]
		}
	}
	f.Domains = append(f.Domains, DomainStatus{Region: region, FailureDomain: failureDomain, Versions: []VersionCount{}})
	return &f.Domains[len(f.Domains)-1]
}

func (d *DomainStatus) add(report *controlpb.DomainReport) {
	for _, count := range report.Versions {
		d.Reported += int(count.Nodes)
		d.Versions = append(d.Versions, VersionCount{Version: count.Version, Nodes: int(count.Nodes)})
	}
}

func (f *Fleet) addSuspects(view *member.View) {
	for _, record := range allRecords(view) {
		known := slices.ContainsFunc(f.Laggards, func(l Laggard) bool { return l.Node == record.ID })
		if record.State == member.Suspect && !known && len(f.Laggards) < maxLaggards {
			f.Laggards = append(f.Laggards, Laggard{Node: record.ID, FailureDomain: record.FailureDomain, Reason: "does not respond to its neighbours"})
		}
	}
}

// allRecords returns the records of the view, with the local node exactly once.
func allRecords(view *member.View) []member.Record {
	others := slices.DeleteFunc(slices.Clone(view.Nodes()), func(record member.Record) bool { return record.ID == view.Self.ID })
	return append(others, view.Self)
}
