package gossip

import (
	"testing"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// TestPeerProgress guards against records that are taken for applied although a
// message was lost or one side restarted.
func TestPeerProgress(t *testing.T) {
	var p peer
	p.advance(&controlpb.Cursor{Log: 1, Records: 10})
	p.advance(&controlpb.Cursor{Log: 1, RecordsFrom: 12, Records: 15, CrashesFrom: 1, Crashes: 2})
	if p.held != (position{log: 1, records: 10}) {
		t.Errorf("after a gap the peer is held to be at %+v", p.held)
	}
	p.advance(&controlpb.Cursor{Log: 2, RecordsFrom: 10, Records: 15})
	if p.held != (position{log: 2}) {
		t.Errorf("after a restart the peer is held to be at %+v", p.held)
	}
	p.acknowledge(&controlpb.Cursor{Log: 7, Records: 5}, 9)
	if p.acked != (position{log: 9}) {
		t.Errorf("a peer that knows an earlier log is held to have applied %+v", p.acked)
	}
}
