package relay

import (
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// reporter sums up what the node and the nodes below it have in force.
type reporter struct {
	relay *Relay
}

// sum returns the report that covers the node and its children.
func (r *reporter) sum() *controlpb.Report {
	view := r.relay.options.View()
	held := r.relay.options.Holder.Current().Digest()
	children := r.relay.children.reports(view, held.Version, r.relay.options.Now())
	own := reportOf(view.Self, held.Version)
	own.Laggards = r.ownLag()
	merged := MergeReports(append(children, own)...)
	merged.Accepted = r.accepted(merged.Accepted)
	return merged
}

// outgoing returns the report for the parent: the whole sum when the node has
// children, otherwise only its own lag, because the parent counts the node by
// the digest it holds. It is empty when there is nothing to say.
func (r *reporter) outgoing() *controlpb.Report {
	if r.relay.children.count() > 0 {
		return r.sum()
	}
	if laggards := r.ownLag(); len(laggards) > 0 {
		return &controlpb.Report{Laggards: laggards}
	}
	return &controlpb.Report{}
}

// statistics returns the sum of the statistics of the node and its children;
// empty when there are none.
func (r *reporter) statistics() []byte {
	source := r.relay.options.Statistics
	if source == nil {
		return nil
	}
	return r.merge(append(r.relay.children.statistics(), source.Encode()))
}

// mergeStatistics returns the sum of the statistics of reports.
func (r *reporter) mergeStatistics(reports ...*controlpb.Report) []byte {
	var encoded [][]byte
	for _, report := range reports {
		if burn := report.GetBurn(); len(burn) > 0 {
			encoded = append(encoded, burn)
		}
	}
	return r.merge(encoded)
}

// merge leaves the statistics out when they cannot be summed, because a wrong
// sum is worse than none.
func (r *reporter) merge(encoded [][]byte) []byte {
	if r.relay.options.Statistics == nil || len(encoded) == 0 {
		return nil
	}
	merged, err := r.relay.options.Statistics.Merge(encoded)
	if err != nil {
		r.relay.counters.damaged.Inc(1)
		return nil
	}
	return merged
}

// ownLag names the node itself when it has been behind for some time.
func (r *reporter) ownLag() []*controlpb.Laggard {
	newest, behind := r.relay.inbox.lag()
	if behind <= lagTolerance {
		return nil
	}
	self := r.relay.options.View().Self
	held := r.relay.options.Holder.Current().Version()
	return []*controlpb.Laggard{{
		Node: self.ID, FailureDomain: self.FailureDomain, Version: held, AgeMs: millis(behind), Reason: r.lagReason(held, newest),
	}}
}

func (r *reporter) lagReason(held, newest uint64) string {
	reason := "has not received version " + versionText(newest)
	if rejection := r.relay.options.Holder.LastRejection(); rejection != nil && rejection.Version > held {
		reason = "refused version " + versionText(rejection.Version) + ": " + rejection.Reason
	}
	return reason[:min(len(reason), maxReasonBytes)]
}

// accepted returns the newest version known to this node or below it.
func (r *reporter) accepted(below *controlpb.Digest) *controlpb.Digest {
	accepted := toProto(r.relay.options.Holder.Current().Digest())
	if newest, _ := r.relay.inbox.lag(); newest > accepted.Version {
		accepted = &controlpb.Digest{Version: newest}
	}
	if below.GetVersion() > accepted.Version {
		return below
	}
	return accepted
}
