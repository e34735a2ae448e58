package node

import (
	"fmt"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/gossip"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// crashQuarantine connects the call path to the quarantine list of the fleet.
type crashQuarantine struct {
	list     *quarantine.List
	exchange *gossip.Exchanger
	now      func() time.Time
}

// IsBlocked reports whether calls with the fingerprint are refused.
func (c crashQuarantine) IsBlocked(service string, fingerprint uint64) bool {
	_, blocked := c.list.Blocked(quarantine.Request{Service: service, Fingerprint: fingerprint}, c.now())
	return blocked
}

// RecordCrash reports to the fleet that the backend server refused connections
// after it received the call.
func (c crashQuarantine) RecordCrash(service string, fingerprint uint64) {
	c.exchange.ReportCrash(quarantine.Request{Service: service, Fingerprint: fingerprint})
}

// recordBlocks returns a listener that records each block as an event, which the
// verb explain shows.
func recordBlocks(events event.Recorder) func(quarantine.Block) {
	return func(block quarantine.Block) {
		events.Record(event.Event{
			Kind:    event.KindQuarantine,
			Subject: formatFingerprint(block),
			Message: fmt.Sprintf("calls with this content crashed the backend servers of nodes %v and are refused until %s", block.Nodes, block.Until.Format(time.RFC3339)),
		})
	}
}

func formatFingerprint(block quarantine.Block) string {
	return block.Service + "/" + strconv.FormatUint(block.Fingerprint, hexBase)
}
