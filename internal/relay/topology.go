package relay

import (
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// readerCandidateCount is the number of nodes of a region that may acquire its
// reader lease.
const readerCandidateCount = 2

// Relays returns the ids of the relays of a failure domain, best rank first.
func Relays(view *member.View, failureDomain string) []string {
	ids := aliveIDs(view, func(record member.Record) bool { return record.FailureDomain == failureDomain })
	ranked := rank("relay "+failureDomain, ids)
	return ranked[:min(RelayCount(len(ids)), len(ranked))]
}

// ReaderCandidates returns the ids of the nodes that may acquire the reader
// lease of a region, best rank first.
func ReaderCandidates(view *member.View, region string) []string {
	ids := aliveIDs(view, func(record member.Record) bool { return record.Region == region })
	ranked := rank("reader "+region, ids)
	return ranked[:min(readerCandidateCount, len(ranked))]
}

// Readers returns the ids of the nodes that announce the reader lease of a
// region, best rank first. Two nodes may announce it for a short time.
func Readers(view *member.View, region string) []string {
	ids := aliveIDs(view, func(record member.Record) bool { return record.Region == region && record.Reader })
	return rank("reader "+region, ids)
}

// aliveIDs returns the ids of the selected nodes that are alive, including the
// local node.
func aliveIDs(view *member.View, selected func(member.Record) bool) []string {
	var ids []string
	for _, record := range view.Nodes() {
		if record.State == member.Alive && record.ID != view.Self.ID && selected(record) {
			ids = append(ids, record.ID)
		}
	}
	if view.Self.State == member.Alive && selected(view.Self) {
		ids = append(ids, view.Self.ID)
	}
	return ids
}

// otherRegions returns the regions of the view except the given one, sorted.
func otherRegions(view *member.View, region string) []string {
	var regions []string
	for _, record := range view.Nodes() {
		if record.Region != region && !slices.Contains(regions, record.Region) {
			regions = append(regions, record.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

func anyRecord(member.Record) bool { return true }
