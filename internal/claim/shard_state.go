package claim

import (
	"bytes"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// shardState is the content of one shard at one store revision. It is only valid
// when the store still has that revision, which a successful compare and swap
// proves.
type shardState struct {
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

func newShardState(revision store.Revision, value shardValue, indexes []segmentIndex) (*shardState, error) {
	encoded, err := encodeRecords(value.records)
	if err != nil {
		return nil, err
	}
	l := &shardState{revision: revision, value: value, encoded: encoded, byHash: make(map[uint64][]int), indexes: indexes}
	for i, r := range value.records {
		l.index(i, r)
	}
	return l, nil
}

func (l *shardState) index(position int, r record) {
	hash := r.hash()
	l.byHash[hash] = append(l.byHash[hash], position)
}

// encodeWith returns the value to store when encoded records are appended.
func (l *shardState) encodeWith(appended []byte) ([]byte, error) {
	head, err := l.value.encodeSegments()
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{head, l.encoded, appended}, nil), nil
}

// append takes over records that the store accepted at a revision.
func (l *shardState) append(revision store.Revision, records []record, encoded []byte) {
	l.revision = revision
	l.encoded = append(l.encoded, encoded...)
	for _, r := range records {
		l.index(len(l.value.records), r)
		l.value.records = append(l.value.records, r)
	}
}

// afterSeal returns the ledger after all its records moved to a segment. It is not
// stored yet and keeps the revision that its write must expect.
func (l *shardState) afterSeal(name segmentName) (*shardState, error) {
	index := newSegmentIndex(name, l.value.records)
	value := shardValue{segments: append(slices.Clone(l.value.segments), name)}
	return newShardState(l.revision, value, append(slices.Clone(l.indexes), index))
}

// withoutSegmentsBefore returns the ledger without the segments sealed before a
// time.
func (l *shardState) withoutSegmentsBefore(limit time.Time) (*shardState, error) {
	var names []segmentName
	var indexes []segmentIndex
	for i, name := range l.value.segments {
		if !name.sealedAt.Before(limit) {
			names = append(names, name)
			indexes = append(indexes, l.indexes[i])
		}
	}
	return newShardState(l.revision, shardValue{segments: names, records: l.value.records}, indexes)
}

// candidateSegments returns the positions of the sealed segments that may hold a key
// and whose claims are still in force.
func (l *shardState) candidateSegments(hash uint64, now time.Time) []int {
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
func (l *shardState) decide(batch []request, sealed sealedRecords) ([]record, []outcome) {
	var appended []record
	outcomes := make([]outcome, len(batch))
	states := make(map[string]*keyState)
	for i, r := range batch {
		if err := sealed.unreadable[record(r).hash()]; err != nil {
			outcomes[i] = outcome{err: err}
			continue
		}
		name := r.claim.scopedKey()
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
func (l *shardState) history(name string, sealed sealedRecords) []record {
	hash := hashScopedKey(name)
	var records []record
	for _, r := range sealed.byHash[hash] {
		if r.claim.scopedKey() == name {
			records = append(records, r)
		}
	}
	for _, position := range l.byHash[hash] {
		if r := l.value.records[position]; r.claim.scopedKey() == name {
			records = append(records, r)
		}
	}
	return records
}
