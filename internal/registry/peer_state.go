package registry

import (
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// peerState is both the request and the response of an exchange between nodes. A
// follower polls its leader with it continuously; any node queries its peers during a
// store outage or after one of them was unreachable. The JSON names are short because
// states cross the links of the hosts.
type peerState struct {
	// Version is the version of the configuration that the sender holds.
	Version uint64 `json:"v"`
	// Configuration is the complete configuration, compressed. Changes yield it from
	// the version that the requester holds; only one of the two is sent.
	Configuration []byte          `json:"c,omitempty"`
	Changes       []versionChange `json:"x,omitempty"`
	// Revision is the number of the store.Revision at which the sender got this version, or a
	// later one that is not valid; 0 when unknown. It comes with a configuration only, and
	// not from a sender that has seen the store restored: epochs of two nodes differ.
	Revision uint64 `json:"y,omitempty"`
	// Entries are the entries that changed after the position of the requester, and
	// Removed the nodes that left since. With Complete, Entries are all entries of the
	// fleet.
	Entries  []fleet.Entry `json:"e,omitempty"`
	Removed  []string      `json:"r,omitempty"`
	Complete bool          `json:"a,omitempty"`
	// FleetKnown is set when the sender knows the fleet, from the store or from a
	// peer.
	FleetKnown bool `json:"l,omitempty"`
	// RunID identifies the run of the process whose fleet table Position refers to.
	RunID    int64  `json:"b,omitempty"`
	Position uint64 `json:"p,omitempty"`
	// Digest is the hash of the entries that the sender holds.
	Digest uint64 `json:"d"`
	// EntryLapsed tells the node that polled or queried that its entry has left the store.
	EntryLapsed bool `json:"o,omitempty"`
	// WaitMs is set in the request of a follower: how long the leader may wait for a
	// change before it responds, in milliseconds.
	WaitMs int64 `json:"w,omitempty"`
	// SinceContactMs is the time since the store last responded to the sender or its
	// leader, in milliseconds.
	SinceContactMs int64 `json:"s"`
	// ConfirmedVersion is the version that the store confirmed as the newest, by what the
	// sender knows; 0 for none. ConfirmationAgeMs and HeldMs are freshness.Statement.
	ConfirmedVersion  uint64 `json:"cv,omitempty"`
	ConfirmationAgeMs int64  `json:"ca,omitempty"`
	HeldMs            int64  `json:"ch,omitempty"`
}
