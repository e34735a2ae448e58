package gossip

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/quarantine"
)

// Bounds of a message besides those of the table and the quarantine list.
const (
	maxSenderBytes = 255
	maxContacts    = 16
)

// compose builds the message to a peer: what changed since the peer last
// acknowledged, or everything when full is set.
func (e *Exchanger) compose(to string, full bool) *controlpb.Gossip {
	now := e.deps.Now()
	state := e.peers.get(to)
	from := state.acked
	if full {
		from = position{}
	}
	table := e.deps.Table
	hash := table.Hash()
	records, reached := table.ChangedSince(to, from.records)
	crashes, crashesReached := e.deps.Quarantine.ChangedSince(from.crashes, now)
	message := &controlpb.Gossip{
		Sender:  table.ID(),
		Digest:  e.deps.Digest(),
		Crashes: quarantine.ToProto(crashes),
		Full:    full,
		Held:    state.cursor(),
		Table:   hash,
		Sent: &controlpb.Cursor{
			Log:         e.log,
			Records:     reached,
			RecordsFrom: from.records,
			Crashes:     crashesReached,
			CrashesFrom: from.crashes,
		},
	}
	message.Records = encodeRecords(records)
	message.Contacts = e.contactsFor(to, now)
	e.peers.update(to, func(p *peer) { p.digest = message.Digest })
	return message
}

// introduction builds the first message to an address whose node is unknown: the
// own record and the wish for every record of the receiver.
func (e *Exchanger) introduction() *controlpb.Gossip {
	return &controlpb.Gossip{
		Sender:  e.deps.Table.ID(),
		Digest:  e.deps.Digest(),
		Records: encodeRecords([]member.Record{e.deps.Table.View().Self}),
		Full:    true,
	}
}

// hasNews reports whether there is anything to tell a peer; a changed
// configuration digest counts when withDigest is set.
func (e *Exchanger) hasNews(to string, withDigest bool) bool {
	state := e.peers.get(to)
	if withDigest && !proto.Equal(state.digest, e.deps.Digest()) {
		return true
	}
	if e.deps.Table.HasChangedSince(to, state.acked.records) {
		return true
	}
	return e.deps.Quarantine.Position() > state.acked.crashes
}

// apply takes over a message and returns the sender.
func (e *Exchanger) apply(message *controlpb.Gossip) (string, error) {
	sender := message.GetSender()
	if sender == "" || len(sender) > maxSenderBytes || sender == e.deps.Table.ID() {
		e.counters.invalid.Inc(1)
		return "", errors.Errorf("membership message with invalid sender %q", sender)
	}
	now := e.deps.Now()
	e.heardAt.Store(&now)
	e.peers.update(sender, func(p *peer) {
		p.acknowledge(message.GetHeld(), e.log)
		p.heardAt = now
	})
	table := e.deps.Table
	table.Merge(sender, decodeRecords(message.GetRecords()), now)
	if e.deps.Quarantine.Add(quarantine.FromProto(message.GetCrashes()), now) {
		e.TriggerExchange()
	}
	table.MessageReceived(sender, now)
	e.applyContacts(sender, message.GetContacts(), now)
	e.peers.update(sender, func(p *peer) { p.advance(message.GetSent()) })
	if message.GetDigest() != nil {
		e.deps.OnPeerDigest(sender, message.GetDigest())
	}
	return sender, nil
}

// contactsFor returns the region contacts for a node of the own region.
func (e *Exchanger) contactsFor(to string, now time.Time) []*controlpb.RegionContact {
	if !e.sameRegion(to) {
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

// applyContacts takes over what a node of the own region knows about the others.
func (e *Exchanger) applyContacts(sender string, encoded []*controlpb.RegionContact, now time.Time) {
	if len(encoded) == 0 || !e.sameRegion(sender) {
		return
	}
	var contacts []member.RegionContact
	for _, contact := range encoded[:min(len(encoded), maxContacts)] {
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
