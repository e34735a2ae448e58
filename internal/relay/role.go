package relay

import (
	"slices"

	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Role is the position of a node in the distribution tree.
type Role uint32

// The roles. Their values are the levels on the wire.
const (
	// RoleReader holds the reader lease of its region.
	RoleReader Role = iota
	// RoleRelay forwards versions to the nodes of its failure domain.
	RoleRelay
	// RoleNode subscribes to a relay.
	RoleNode
)

// RoleOf returns the role of the local node of the view.
func RoleOf(view *member.View, holdsLease bool) Role {
	self := view.Self
	switch {
	case holdsLease:
		return RoleReader
	case slices.Contains(Relays(view, self.FailureDomain), self.ID):
		return RoleRelay
	case slices.Contains(ReaderCandidates(view, self.Region), self.ID):
		// A candidate replaces a missing reader, so it follows the reader.
		return RoleRelay
	default:
		return RoleNode
	}
}
