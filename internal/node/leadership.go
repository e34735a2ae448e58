package node

import (
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
)

// wantsLease reports whether the node should try to acquire the reader lease of
// its region: it is a candidate, and the membership shows no other alive node
// that holds the lease.
func (n *Node) wantsLease() bool {
	view := n.table.View()
	if !slices.Contains(relay.ReaderCandidates(view, view.Self.Region), view.Self.ID) {
		return false
	}
	return !slices.ContainsFunc(view.Nodes(), func(record member.Record) bool {
		return record.Reader && record.State == member.Alive && record.Region == view.Self.Region && record.ID != view.Self.ID
	})
}

// isFirstRelay reports whether the node is the first relay of its failure domain.
func (n *Node) isFirstRelay() bool {
	view := n.table.View()
	relays := relay.Relays(view, view.Self.FailureDomain)
	return len(relays) > 0 && relays[0] == view.Self.ID
}
