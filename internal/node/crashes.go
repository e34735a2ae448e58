package node

import (
	"fmt"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/gossip"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// crashes connects the call path to the quarantine list of the fleet.
type crashes struct {
	list     *quarantine.List
	exchange *gossip.Exchanger
	now      func() time.Time
}

// IsBlocked reports whether calls with the fingerprint are refused.
func (c crashes) IsBlocked(service string, fingerprint uint64) bool {
	_, blocked := c.list.Blocked(quarantine.Request{Service: service, Fingerprint: fingerprint}, c.now())
	return blocked
}

// RecordCrash reports that the backend server was gone after running the call.
func (c crashes) RecordCrash(service string, fingerprint uint64) {
	c.exchange.ReportCrash(quarantine.Request{Service: service, Fingerprint: fingerprint})
}

// recordBlock leaves an event for explain.
func recordBlock(events event.Recorder) func(quarantine.Block) {
	return func(block quarantine.Block) {
		events.Record(event.Event{
			Kind:    event.KindQuarantine,
			Subject: formatFingerprint(block),
			Message: fmt.Sprintf("calls with this content stopped the backend servers beside %v and are refused until %s", block.Nodes, block.Until.Format(time.RFC3339)),
		})
	}
}

func formatFingerprint(block quarantine.Block) string {
	return block.Service + "/" + strconv.FormatUint(block.Fingerprint, 16)
}
