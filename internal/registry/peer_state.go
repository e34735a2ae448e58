package registry

import (
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// peerState is what two nodes tell each other while the store is away or one of
// them was out of reach.
type peerState struct {
	// Version is the version of the configuration that the sender holds.
	Version uint64 `json:"v"`
	// Configuration is sent only to a node with an older version.
	Configuration []byte        `json:"c,omitempty"`
	Entries       []fleet.Entry `json:"e"`
}
