package gossip

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// position is a position in the change log of a process.
type position struct {
	logID   uint32
	records uint64
	crashes uint64
}

// peerState is the progress of the exchange with another node. Both sides state in
// each message which changes they have applied, so after a lost message or a
// restart changes are repeated, and no record is lost.
type peerState struct {
	// applied is the position in the peer's log up to which changes were applied
	// here.
	applied position
	// acked is the position in the local log up to which the peer has applied
	// changes.
	acked position
	// sentDigest is the configuration digest last sent to the peer; nil after a
	// failed exchange.
	sentDigest *controlpb.Digest
	// lastReceived is when the last message of the peer arrived.
	lastReceived time.Time
	// mismatches counts the consecutive exchanges without changes after which the
	// tables differ.
	mismatches int
	// lastFullSync is when all records were last exchanged to resolve a mismatch.
	lastFullSync time.Time
}

// recordAck records which changes of the local log the peer has applied. A position
// in the log of an earlier process counts as zero.
func (p *peerState) recordAck(acked *controlpb.Cursor, logID uint32) {
	p.acked = position{logID: logID}
	if acked.GetLog() == logID {
		p.acked.records = acked.GetRecords()
		p.acked.crashes = acked.GetCrashes()
	}
}

// advance records that the changes in a message were applied. Changes that leave a
// gap after the applied position do not advance it, and the peer repeats them from
// there.
func (p *peerState) advance(sent *controlpb.Cursor) {
	if sent == nil {
		return
	}
	if sent.GetLog() != p.applied.logID {
		p.applied = position{logID: sent.GetLog()}
	}
	if sent.GetRecordsFrom() <= p.applied.records {
		p.applied.records = max(p.applied.records, sent.GetRecords())
	}
	if sent.GetCrashesFrom() <= p.applied.crashes {
		p.applied.crashes = max(p.applied.crashes, sent.GetCrashes())
	}
}

// cursor encodes the applied position; it returns nil before the first message.
func (p *peerState) cursor() *controlpb.Cursor {
	if p.applied.logID == 0 {
		return nil
	}
	return &controlpb.Cursor{Log: p.applied.logID, Records: p.applied.records, Crashes: p.applied.crashes}
}
