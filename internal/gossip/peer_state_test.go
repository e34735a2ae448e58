package gossip

import (
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// TestPeerState guards against records that count as applied although a message was
// lost or one side restarted.
func TestPeerState(t *testing.T) {
	var p peerState
	p.advance(&controlpb.Cursor{Log: 1, Records: 10})
	p.advance(&controlpb.Cursor{Log: 1, RecordsFrom: 12, Records: 15, CrashesFrom: 1, Crashes: 2})
	if p.applied != (position{logID: 1, records: 10}) {
		t.Errorf("applied position after a gap is %+v", p.applied)
	}
	p.advance(&controlpb.Cursor{Log: 2, RecordsFrom: 10, Records: 15})
	if p.applied != (position{logID: 2}) {
		t.Errorf("applied position after a restart is %+v", p.applied)
	}
	p.recordAck(&controlpb.Cursor{Log: 7, Records: 5}, 9)
	if p.acked != (position{logID: 9}) {
		t.Errorf("acknowledged position of a peer with an earlier log is %+v", p.acked)
	}
}
