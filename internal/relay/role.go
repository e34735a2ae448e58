package relay

import (
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Role is the place of a node in the distribution tree.
type Role uint32

// The roles. Their values are the levels on the wire.
const (
	// RoleReader holds the reader lease of its region.
	RoleReader Role = iota
	// RoleRelay passes versions on to the nodes of its failure domain.
	RoleRelay
	// RoleNode subscribes to a relay.
	RoleNode
)

// RoleOf returns the role of the view's own node.
func RoleOf(view *member.View, holdsLease bool) Role {
	self := view.Self
	switch {
	case holdsLease:
		return RoleReader
	case slices.Contains(Relays(view, self.FailureDomain), self.ID):
		return RoleRelay
	case slices.Contains(ReaderCandidates(view, self.Region), self.ID):
		// A candidate stands in for a missing reader, so it follows the reader.
		return RoleRelay
	default:
		return RoleNode
	}
}
