package relay

import (
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// aggregator counts this node and its descendants by the version that they have in
// force.
type aggregator struct {
	relay *Relay
}

// report returns the report that covers this node and its descendants.
func (a *aggregator) report() *controlpb.Report {
	view := a.relay.options.View()
	held := a.relay.options.Holder.Current().Digest()
	children := a.relay.children.reports(view, held.Version, a.relay.options.Now())
	local := nodeReport(view.Self, held.Version)
	local.Laggards = a.localLaggards()
	merged := MergeReports(append(children, local)...)
	merged.Accepted = a.newestAccepted(merged.Accepted)
	return merged
}

// reportForParent returns the report for the parent: the totals when the node
// has children, otherwise only its own lag, because the parent counts the node
// by the digest that it holds. It is empty when the node has nothing to report.
func (a *aggregator) reportForParent() *controlpb.Report {
	if a.relay.children.count() > 0 {
		return a.report()
	}
	if laggards := a.localLaggards(); len(laggards) > 0 {
		return &controlpb.Report{Laggards: laggards}
	}
	return &controlpb.Report{}
}

// statistics returns the totals of the statistics of this node and its
// children; empty when there are none.
func (a *aggregator) statistics() []byte {
	source := a.relay.options.Statistics
	if source == nil {
		return nil
	}
	return a.merge(append(a.relay.children.statistics(), source.Encode()))
}

// mergeStatistics returns the totals of the statistics in the reports.
func (a *aggregator) mergeStatistics(reports ...*controlpb.Report) []byte {
	var encoded [][]byte
	for _, report := range reports {
		if burn := report.GetBurn(); len(burn) > 0 {
			encoded = append(encoded, burn)
		}
	}
	return a.merge(encoded)
}

// merge returns no statistics when they cannot be added up, because wrong
// totals are worse than none.
func (a *aggregator) merge(encoded [][]byte) []byte {
	if a.relay.options.Statistics == nil || len(encoded) == 0 {
		return nil
	}
	merged, err := a.relay.options.Statistics.Merge(encoded)
	if err != nil {
		a.relay.metrics.corrupted.Inc(1)
		return nil
	}
	return merged
}

// localLaggards lists the local node when it has been behind for longer than
// lagTolerance.
func (a *aggregator) localLaggards() []*controlpb.Laggard {
	newest, behind := a.relay.applier.lag()
	if behind <= lagTolerance {
		return nil
	}
	self := a.relay.options.View().Self
	held := a.relay.options.Holder.Current().Version()
	return []*controlpb.Laggard{{
		Node: self.ID, FailureDomain: self.FailureDomain, Version: held, AgeMs: millis(behind), Reason: a.lagReason(held, newest),
	}}
}

func (a *aggregator) lagReason(held, newest uint64) string {
	reason := "has not received version " + formatVersion(newest)
	if rejection := a.relay.options.Holder.LastRejection(); rejection != nil && rejection.Version > held {
		reason = "rejected version " + formatVersion(rejection.Version) + ": " + rejection.Reason
	}
	return reason[:min(len(reason), maxReasonBytes)]
}

// newestAccepted returns the newest version known to this node or its
// descendants.
func (a *aggregator) newestAccepted(fromChildren *controlpb.Digest) *controlpb.Digest {
	accepted := toProto(a.relay.options.Holder.Current().Digest())
	if newest, _ := a.relay.applier.lag(); newest > accepted.Version {
		accepted = &controlpb.Digest{Version: newest}
	}
	if fromChildren.GetVersion() > accepted.Version {
		return fromChildren
	}
	return accepted
}
