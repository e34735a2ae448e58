package gossip

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// position is a place in the change log of a process.
type position struct {
	logID   uint32
	records uint64
	crashes uint64
}

// peerState is what the node knows about the progress of the exchange with another
// node. Both sides state in each message what they have applied, so a lost
// message or a restart costs a repetition and never a record.
type peerState struct {
	// applied is how much of the peer's log was applied here.
	applied position
	// acked is how much of the own log the peer has applied.
	acked position
	// sentDigest is the configuration sentDigest that the peer was last sent.
	sentDigest *controlpb.Digest
	// lastReceived is when the last message of the peer arrived.
	lastReceived time.Time
	// mismatches counts the exchanges in a row that changed nothing although the
	// tables differ.
	mismatches int
	// lastFullSync is when all records were last exchanged to repair a mismatch.
	lastFullSync time.Time
}

// recordAck takes over what the peer says it holds of the own log.
func (p *peerState) recordAck(held *controlpb.Cursor, log uint32) {
	p.acked = position{logID: log}
	if held.GetLog() == log {
		p.acked.records = held.GetRecords()
		p.acked.crashes = held.GetCrashes()
	}
}

// advance notes that the part of the peer's log in a message was applied. A part
// that does not follow on what is held changes nothing, and the peer repeats it
// from there.
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

// cursor encodes what is held of the peer's log.
func (p *peerState) cursor() *controlpb.Cursor {
	if p.applied.logID == 0 {
		return nil
	}
	return &controlpb.Cursor{Log: p.applied.logID, Records: p.applied.records, Crashes: p.applied.crashes}
}
