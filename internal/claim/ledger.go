package claim

import (
	"bytes"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// ledger is the content of one shard at one store revision. It is only valid
// when the store still has that revision, which a successful compare and swap
// proves.
type ledger struct {
	revision store.Revision
	value    shardValue
	// encoded are the records as they are stored, so that a write encodes only
	// what it appends.
	encoded []byte
	// byHash holds the positions of the head's records by key hash.
	byHash map[uint64][]int
	// indexes describe the sealed segments in the order of value.segments.
	indexes []segmentIndex
}

func newLedger(revision store.Revision, value shardValue, indexes []segmentIndex) (*ledger, error) {
	encoded, err := encodeRecords(value.records)
	if err != nil {
		return nil, err
	}
	l := &ledger{revision: revision, value: value, encoded: encoded, byHash: make(map[uint64][]int), indexes: indexes}
	for i, r := range value.records {
		l.index(i, r)
	}
	return l, nil
}

func (l *ledger) index(position int, r record) {
	hash := r.hash()
	l.byHash[hash] = append(l.byHash[hash], position)
}

// encodeWith returns the value to store when encoded records are appended.
func (l *ledger) encodeWith(appended []byte) ([]byte, error) {
	head, err := l.value.encodeHead()
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{head, l.encoded, appended}, nil), nil
}

// append takes over records that the store accepted at a revision.
func (l *ledger) append(revision store.Revision, records []record, encoded []byte) {
	l.revision = revision
	l.encoded = append(l.encoded, encoded...)
	for _, r := range records {
		l.index(len(l.value.records), r)
		l.value.records = append(l.value.records, r)
	}
}

// sealed returns the ledger after all its records moved to a segment. It is not
// stored yet and keeps the revision that its write must expect.
func (l *ledger) sealed(name segmentName) (*ledger, error) {
	index := newSegmentIndex(name, l.value.records)
	value := shardValue{segments: append(slices.Clone(l.value.segments), name)}
	return newLedger(l.revision, value, append(slices.Clone(l.indexes), index))
}

// withoutSegmentsBefore returns the ledger without the segments sealed before a
// time.
func (l *ledger) withoutSegmentsBefore(limit time.Time) (*ledger, error) {
	var names []segmentName
	var indexes []segmentIndex
	for i, name := range l.value.segments {
		if !name.sealedAt.Before(limit) {
			names = append(names, name)
			indexes = append(indexes, l.indexes[i])
		}
	}
	return newLedger(l.revision, shardValue{segments: names, records: l.value.records}, indexes)
}

// segmentsWith returns the positions of the sealed segments that may hold a key
// and whose claims are still in force.
func (l *ledger) segmentsWith(hash uint64, now time.Time) []int {
	var positions []int
	for i, index := range l.indexes {
		if !index.name.expired(now) && index.mayHold(hash) {
			positions = append(positions, i)
		}
	}
	return positions
}

// decide answers a batch in order. The answers hold once the returned records
// are stored, or once the ledger is known to be the newest when there are none.
func (l *ledger) decide(batch []request, sealed sealedRecords) ([]record, []outcome) {
	var appended []record
	outcomes := make([]outcome, len(batch))
	states := make(map[string]*keyState)
	for i, r := range batch {
		if err := sealed.failed[record(r).hash()]; err != nil {
			outcomes[i] = outcome{err: err}
			continue
		}
		name := r.claim.name()
		if states[name] == nil {
			states[name] = newKeyState(l.history(name, sealed))
		}
		answer, mustRecord := states[name].decide(r)
		outcomes[i] = answer
		if mustRecord {
			states[name].add(record(r))
			appended = append(appended, record(r))
		}
	}
	return appended, outcomes
}

// history returns the records of a key, oldest first.
func (l *ledger) history(name string, sealed sealedRecords) []record {
	hash := hashName(name)
	var records []record
	for _, r := range sealed.byHash[hash] {
		if r.claim.name() == name {
			records = append(records, r)
		}
	}
	for _, position := range l.byHash[hash] {
		if r := l.value.records[position]; r.claim.name() == name {
			records = append(records, r)
		}
	}
	return records
}
