package node

import (
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/relay"
)

// snapshotInForce provides the snapshot in force to the drain tracker, which
// follows planned stops.
type snapshotInForce struct{ holder *config.Holder }

// Load returns the snapshot in force.
func (s snapshotInForce) Load() *config.Snapshot { return s.holder.Current() }

// servingSnapshot provides the snapshot in force to the call path. It provides
// none until the node has learned the newest version of its peers, so that a
// restarted node never serves an older version than before the restart.
type servingSnapshot struct {
	holder *config.Holder
	relay  *relay.Relay
}

// Load returns the snapshot in force, or nil while the node may not serve calls.
func (s servingSnapshot) Load() *config.Snapshot {
	if !s.relay.MayServe() {
		return nil
	}
	return s.holder.Current()
}
