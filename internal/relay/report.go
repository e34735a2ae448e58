package relay

import (
	"cmp"
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

const (
	// maxLaggards is the maximum number of laggards that a report lists.
	maxLaggards = 64
	// maxDomains and maxVersions limit the counts of a report. Versions beyond
	// the limit are combined with the oldest one within it and counted under
	// the lowest version among them.
	maxDomains  = 64
	maxVersions = 16
	// maxReasonBytes is the maximum length of the reason that a laggard gives.
	maxReasonBytes = 512
)

// MergeReports adds up reports of disjoint sets of nodes. The statistics are
// not merged.
func MergeReports(reports ...*controlpb.Report) *controlpb.Report {
	merged := &controlpb.Report{}
	for _, report := range reports {
		for _, domain := range report.GetDomains() {
			addDomain(merged, domain)
		}
		merged.Laggards = append(merged.Laggards, report.GetLaggards()...)
		if report.GetAccepted().GetVersion() > merged.Accepted.GetVersion() {
			merged.Accepted = report.Accepted
		}
	}
	normalizeReport(merged)
	return merged
}

func addDomain(merged *controlpb.Report, added *controlpb.DomainReport) {
	index := slices.IndexFunc(merged.Domains, func(domain *controlpb.DomainReport) bool {
		return domain.Region == added.Region && domain.FailureDomain == added.FailureDomain
	})
	if index < 0 {
		if len(merged.Domains) >= maxDomains {
			return
		}
		index = len(merged.Domains)
		merged.Domains = append(merged.Domains, &controlpb.DomainReport{Region: added.Region, FailureDomain: added.FailureDomain})
	}
	for _, count := range added.Versions {
		addVersion(merged.Domains[index], count.GetVersion(), count.GetNodes())
	}
}

func addVersion(domain *controlpb.DomainReport, version uint64, nodes uint32) {
	for _, count := range domain.Versions {
		if count.Version == version {
			count.Nodes += nodes
			return
		}
	}
	domain.Versions = append(domain.Versions, &controlpb.VersionCount{Version: version, Nodes: nodes})
}

// normalizeReport sorts a report, so that equal totals are equal messages, and
// truncates it to its limits.
func normalizeReport(report *controlpb.Report) {
	slices.SortFunc(report.Domains, func(a, b *controlpb.DomainReport) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	for _, domain := range report.Domains {
		slices.SortFunc(domain.Versions, func(a, b *controlpb.VersionCount) int { return cmp.Compare(b.Version, a.Version) })
		truncateVersions(domain)
	}
	report.Laggards = oldestLaggards(report.Laggards)
}

func truncateVersions(domain *controlpb.DomainReport) {
	if len(domain.Versions) <= maxVersions {
		return
	}
	last := domain.Versions[maxVersions-1]
	for _, count := range domain.Versions[maxVersions:] {
		last.Nodes += count.Nodes
		last.Version = min(last.Version, count.Version)
	}
	domain.Versions = domain.Versions[:maxVersions]
}

// oldestLaggards returns each laggard once, the longest behind first, at most
// maxLaggards.
func oldestLaggards(laggards []*controlpb.Laggard) []*controlpb.Laggard {
	sorted := slices.Clone(laggards)
	slices.SortStableFunc(sorted, func(a, b *controlpb.Laggard) int {
		return cmp.Or(cmp.Compare(b.AgeMs, a.AgeMs), cmp.Compare(a.Node, b.Node))
	})
	listed := make([]*controlpb.Laggard, 0, min(len(sorted), maxLaggards))
	for _, laggard := range sorted {
		known := slices.ContainsFunc(listed, func(other *controlpb.Laggard) bool { return other.Node == laggard.Node })
		if !known && len(listed) < maxLaggards {
			listed = append(listed, laggard)
		}
	}
	return listed
}
