package registry

import (
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// peerState is what a node asks another one and what it answers: a follower asks
// its leader all the time, and any node asks its peers while the store is away or
// after one of them was out of reach. The field names are short because the states
// cross the hosts' links.
type peerState struct {
	// Version is the version of the configuration that the sender holds.
	Version uint64 `json:"v"`
	// Configuration is the whole configuration, compressed. Changes lead to it from
	// the version that the asker holds; only one of the two is sent.
	Configuration []byte          `json:"c,omitempty"`
	Changes       []versionChange `json:"x,omitempty"`
	// Entries are those that changed after the asker's position, and Removed the
	// nodes that left; all entries when Whole is set.
	Entries  []fleet.Entry `json:"e,omitempty"`
	Removed  []string      `json:"r,omitempty"`
	Complete bool          `json:"a,omitempty"`
	// FleetKnown is set when the sender knows the fleet, from the store or from a peer
	// that does.
	FleetKnown bool `json:"l,omitempty"`
	// RunID identifies the run of the process whose fleet table Position counts.
	RunID    int64  `json:"b,omitempty"`
	Position uint64 `json:"p,omitempty"`
	// Digest is the hash of the entries that the sender holds.
	Digest uint64 `json:"d"`
	// WaitMs is set in a follower's question: how long the leader may wait for a
	// change before it answers.
	WaitMs int64 `json:"w,omitempty"`
	// SinceContactMs is how long the sender has not heard the store.
	SinceContactMs int64 `json:"s"`
}
