package gossip

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// Limits of a message besides those of the table and the quarantine list.
const (
	maxSenderBytes    = 255
	maxRegionContacts = 16
)

// compose builds the message to a peer: the changes since the position that the
// peer has acknowledged, or all records and crash reports when fullSync is set.
func (e *Exchanger) compose(peerID string, fullSync bool) *controlpb.Gossip {
	now := e.deps.Now()
	state := e.peers.get(peerID)
	from := state.acked
	if fullSync {
		from = position{}
	}
	table := e.deps.Table
	hash := table.Hash()
	records, recordsTo := table.ChangedSince(peerID, from.records)
	crashes, crashesTo := e.deps.Quarantine.ChangedSince(from.crashes, now)
	message := &controlpb.Gossip{
		Sender:  table.ID(),
		Digest:  e.deps.Digest(),
		Crashes: quarantine.ToProto(crashes),
		Full:    fullSync,
		Held:    state.cursor(),
		Table:   hash,
		Sent: &controlpb.Cursor{
			Log:         e.logID,
			Records:     recordsTo,
			RecordsFrom: from.records,
			Crashes:     crashesTo,
			CrashesFrom: from.crashes,
		},
	}
	message.Records = encodeRecords(records)
	message.Contacts = e.encodeRegionContacts(peerID, now)
	e.peers.update(peerID, func(p *peerState) { p.sentDigest = message.Digest })
	return message
}

// composeJoin builds the first message to an unknown node: the local record and a
// request for all records of the receiver.
func (e *Exchanger) composeJoin() *controlpb.Gossip {
	return &controlpb.Gossip{
		Sender:  e.deps.Table.ID(),
		Digest:  e.deps.Digest(),
		Records: encodeRecords([]member.Record{e.deps.Table.View().Self}),
		Full:    true,
	}
}

// hasPending reports whether there are changes to send to a peer. A changed
// configuration digest counts only when withDigest is set.
func (e *Exchanger) hasPending(peerID string, withDigest bool) bool {
	state := e.peers.get(peerID)
	if withDigest && !proto.Equal(state.sentDigest, e.deps.Digest()) {
		return true
	}
	if e.deps.Table.HasChangedSince(peerID, state.acked.records) {
		return true
	}
	return e.deps.Quarantine.Position() > state.acked.crashes
}

// apply merges a received message and returns the ID of its sender. It returns an
// error when the sender is invalid.
func (e *Exchanger) apply(message *controlpb.Gossip) (string, error) {
	sender := message.GetSender()
	if sender == "" || len(sender) > maxSenderBytes || sender == e.deps.Table.ID() {
		e.counters.invalid.Inc(1)
		return "", errors.Errorf("membership message has invalid sender %q, must be the ID of another node with 1 to %d bytes", sender, maxSenderBytes)
	}
	now := e.deps.Now()
	e.lastReceived.Store(&now)
	e.peers.update(sender, func(p *peerState) {
		p.recordAck(message.GetHeld(), e.logID)
		p.lastReceived = now
	})
	table := e.deps.Table
	table.Merge(sender, decodeRecords(message.GetRecords()), now)
	if e.deps.Quarantine.Add(quarantine.FromProto(message.GetCrashes()), now) {
		e.TriggerExchange()
	}
	table.MessageReceived(sender, now)
	e.mergeRegionContacts(sender, message.GetContacts(), now)
	e.peers.update(sender, func(p *peerState) { p.advance(message.GetSent()) })
	if message.GetDigest() != nil {
		e.deps.OnPeerDigest(sender, message.GetDigest())
	}
	return sender, nil
}

// encodeRegionContacts returns the region contacts to send to a node of the local
// region, and nil for other nodes.
func (e *Exchanger) encodeRegionContacts(peerID string, now time.Time) []*controlpb.RegionContact {
	if !e.sameRegion(peerID) {
		return nil
	}
	var encoded []*controlpb.RegionContact
	for _, contact := range e.deps.Table.RegionContacts(now) {
		encoded = append(encoded, &controlpb.RegionContact{
			Region: contact.Region,
			AgeMs:  uint32(max(0, contact.Age.Milliseconds())),
		})
	}
	return encoded
}

// mergeRegionContacts merges the region contacts received from a node of the local
// region.
func (e *Exchanger) mergeRegionContacts(sender string, encoded []*controlpb.RegionContact, now time.Time) {
	if len(encoded) == 0 || !e.sameRegion(sender) {
		return
	}
	var contacts []member.RegionContact
	for _, contact := range encoded[:min(len(encoded), maxRegionContacts)] {
		age := time.Duration(contact.GetAgeMs()) * time.Millisecond
		contacts = append(contacts, member.RegionContact{Region: contact.GetRegion(), Age: age})
	}
	e.deps.Table.MergeRegionContacts(contacts, now)
}

func (e *Exchanger) sameRegion(id string) bool {
	view := e.deps.Table.View()
	record, known := view.Node(id)
	return known && record.Region == view.Self.Region
}

func encodeRecords(records []member.Record) []*controlpb.NodeRecord {
	var encoded []*controlpb.NodeRecord
	for _, record := range records {
		encoded = append(encoded, member.ToProto(record))
	}
	return encoded
}

func decodeRecords(encoded []*controlpb.NodeRecord) []member.Record {
	var records []member.Record
	for _, record := range encoded {
		records = append(records, member.FromProto(record))
	}
	return records
}
