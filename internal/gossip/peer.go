package gossip

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
)

// position is a place in the change log of a process.
type position struct {
	log     uint32
	records uint64
	crashes uint64
}

// peer is what the node knows about the progress of the exchange with another
// node. Both sides state in each message what they have applied, so a lost
// message or a restart costs a repetition and never a record.
type peer struct {
	// held is how much of the peer's log was applied here.
	held position
	// acked is how much of the own log the peer has applied.
	acked position
	// digest is the configuration digest that the peer was last sent.
	digest *controlpb.Digest
	// heardAt is when the last message of the peer arrived.
	heardAt time.Time
	// mismatches counts the exchanges in a row that changed nothing although the
	// tables differ.
	mismatches int
	// fullAt is when all records were last exchanged to repair a mismatch.
	fullAt time.Time
}

// acknowledge takes over what the peer says it holds of the own log.
func (p *peer) acknowledge(held *controlpb.Cursor, log uint32) {
	p.acked = position{log: log}
	if held.GetLog() == log {
		p.acked.records = held.GetRecords()
		p.acked.crashes = held.GetCrashes()
	}
}

// advance notes that the part of the peer's log in a message was applied. A part
// that does not follow on what is held changes nothing, and the peer repeats it
// from there.
func (p *peer) advance(sent *controlpb.Cursor) {
	if sent == nil {
		return
	}
	if sent.GetLog() != p.held.log {
		p.held = position{log: sent.GetLog()}
	}
	if sent.GetRecordsFrom() <= p.held.records {
		p.held.records = max(p.held.records, sent.GetRecords())
	}
	if sent.GetCrashesFrom() <= p.held.crashes {
		p.held.crashes = max(p.held.crashes, sent.GetCrashes())
	}
}

// cursor encodes what is held of the peer's log.
func (p *peer) cursor() *controlpb.Cursor {
	if p.held.log == 0 {
		return nil
	}
	return &controlpb.Cursor{Log: p.held.log, Records: p.held.records, Crashes: p.held.crashes}
}
