package claim

import (
	"bytes"
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// shardState is the content of one shard at one store revision. It is current
// only while the store still has that revision, which a successful
// compare-and-swap proves.
type shardState struct {
	revision store.Revision
	value    shardValue
	// encoded holds the records in their stored encoding, so that a write encodes
	// only what it appends.
	encoded []byte
	// byHash holds the positions of the head's records by key hash.
	byHash map[uint64][]int
	// indexes holds the indexes of the sealed segments in the order of
	// value.segments.
	indexes []segmentIndex
}

func newShardState(revision store.Revision, value shardValue, indexes []segmentIndex) (*shardState, error) {
	encoded, err := encodeRecords(value.records)
	if err != nil {
		return nil, err
	}
	s := &shardState{revision: revision, value: value, encoded: encoded, byHash: make(map[uint64][]int), indexes: indexes}
	for i, r := range value.records {
		s.index(i, r)
	}
	return s, nil
}

func (s *shardState) index(position int, r record) {
	hash := r.hash()
	s.byHash[hash] = append(s.byHash[hash], position)
}

// encodeWith returns the value to store when encoded records are appended.
func (s *shardState) encodeWith(appended []byte) ([]byte, error) {
	head, err := s.value.encodeSegments()
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{head, s.encoded, appended}, nil), nil
}

// append adds records that the store accepted at a revision.
func (s *shardState) append(revision store.Revision, records []record, encoded []byte) {
	s.revision = revision
	s.encoded = append(s.encoded, encoded...)
	for _, r := range records {
		s.index(len(s.value.records), r)
		s.value.records = append(s.value.records, r)
	}
}

// afterSeal returns the state after all records were moved to a segment. It is
// not stored yet and keeps the revision that its write must expect.
func (s *shardState) afterSeal(name segmentName) (*shardState, error) {
	index := newSegmentIndex(name, s.value.records)
	value := shardValue{segments: append(slices.Clone(s.value.segments), name)}
	return newShardState(s.revision, value, append(slices.Clone(s.indexes), index))
}

// withoutSegmentsBefore returns the state without the segments sealed before a
// time.
func (s *shardState) withoutSegmentsBefore(limit time.Time) (*shardState, error) {
	var names []segmentName
	var indexes []segmentIndex
	for i, name := range s.value.segments {
		if !name.sealedAt.Before(limit) {
			names = append(names, name)
			indexes = append(indexes, s.indexes[i])
		}
	}
	return newShardState(s.revision, shardValue{segments: names, records: s.value.records}, indexes)
}

// candidateSegments returns the positions of the sealed segments that may hold a
// key and whose claims have not all expired.
func (s *shardState) candidateSegments(hash uint64, now time.Time) []int {
	var positions []int
	for i, index := range s.indexes {
		if !index.name.expired(now) && index.mayHold(hash) {
			positions = append(positions, i)
		}
	}
	return positions
}

// decide returns the records to append for a batch, and the outcomes of its
// requests in order. The outcomes are valid once the records are stored or, when
// there are none, once the state is known to be the newest.
func (s *shardState) decide(batch []request, sealed sealedRecords) ([]record, []outcome) {
	var appended []record
	outcomes := make([]outcome, len(batch))
	keys := make(map[string]*keyState)
	for i, r := range batch {
		if err := sealed.unreadable[record(r).hash()]; err != nil {
			outcomes[i] = outcome{err: err}
			continue
		}
		key := r.claim.scopedKey()
		if keys[key] == nil {
			keys[key] = newKeyState(s.history(key, sealed))
		}
		decision, mustRecord := keys[key].decide(r)
		outcomes[i] = decision
		if mustRecord {
			keys[key].add(record(r))
			appended = append(appended, record(r))
		}
	}
	return appended, outcomes
}

// history returns the records of a key, oldest first.
func (s *shardState) history(key string, sealed sealedRecords) []record {
	hash := hashScopedKey(key)
	var records []record
	for _, r := range sealed.byHash[hash] {
		if r.claim.scopedKey() == key {
			records = append(records, r)
		}
	}
	for _, position := range s.byHash[hash] {
		if r := s.value.records[position]; r.claim.scopedKey() == key {
			records = append(records, r)
		}
	}
	return records
}
