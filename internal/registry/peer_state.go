package registry

import (
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// peerState is what two nodes tell each other while the store is away or one of
// them was out of reach.
type peerState struct {
	// Version is the version of the configuration that the sender holds.
	Version uint64 `json:"v"`
	// Configuration is compressed, and sent only to a node with an older version.
	Configuration []byte        `json:"c,omitempty"`
	Entries       []fleet.Entry `json:"e,omitempty"`
	// Digest is the hash of the entries that the sender holds.
	Digest uint64 `json:"d"`
	// WaitMs is set in a follower's question: how long the leader may wait for a
	// change before it answers.
	WaitMs int64 `json:"w,omitempty"`
	// SilentMs is how long the sender has not heard the store.
	SilentMs int64 `json:"s"`
}
