package gossip

import (
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// TestPeerState guards against records that are taken for applied although a
// message was lost or one side restarted.
func TestPeerState(t *testing.T) {
	var p peerState
	p.advance(&controlpb.Cursor{Log: 1, Records: 10})
	p.advance(&controlpb.Cursor{Log: 1, RecordsFrom: 12, Records: 15, CrashesFrom: 1, Crashes: 2})
	if p.applied != (position{logID: 1, records: 10}) {
		t.Errorf("after a gap the peer is held to be at %+v", p.applied)
	}
	p.advance(&controlpb.Cursor{Log: 2, RecordsFrom: 10, Records: 15})
	if p.applied != (position{logID: 2}) {
		t.Errorf("after a restart the peer is held to be at %+v", p.applied)
	}
	p.recordAck(&controlpb.Cursor{Log: 7, Records: 5}, 9)
	if p.acked != (position{logID: 9}) {
		t.Errorf("a peer that knows an earlier log is held to have applied %+v", p.acked)
	}
}
