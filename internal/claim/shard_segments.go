package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// seal writes the head's records to a new segment and returns the remaining
// state. Writing that state succeeds only if the head is still at the sealed
// revision. Otherwise nothing refers to the segment, and the store deletes it when
// its lease expires.
func (l *shardLog) seal(ctx context.Context) (*shardState, error) {
	remaining, err := l.state.withoutSegmentsBefore(l.now().Add(-segmentTTL))
	if err != nil {
		return nil, err
	}
	if len(remaining.value.segments) >= maxSegments {
		l.metrics.shardFull.Inc(1)
		return nil, errShardFull
	}
	// The stored time has a resolution of milliseconds.
	name := segmentName{number: l.config.Random(), sealedAt: l.now().Truncate(time.Millisecond)}
	if err := l.writeSegment(ctx, name, l.state.encoded); err != nil {
		return nil, err
	}
	l.metrics.sealed.Inc(1)
	return remaining.afterSeal(name)
}

// writeSegment stores encoded records under a key that the store deletes when its
// lease expires.
func (l *shardLog) writeSegment(ctx context.Context, name segmentName, encoded []byte) error {
	if err := l.acquire(ctx); err != nil {
		return err
	}
	lease, err := l.client.Grant(ctx, segmentTTL)
	if err != nil {
		return err
	}
	_, err = l.client.CompareAndSwap(ctx, segmentKey(l.shard, name.number), 0, encoded, lease)
	return err
}

// readSegment reads the records of a sealed segment; there are none when it has
// expired. Any other missing segment is an error, because otherwise its claims
// would be granted again.
func (l *shardLog) readSegment(ctx context.Context, name segmentName) ([]record, error) {
	if name.expired(l.now()) {
		return nil, nil
	}
	stored, err := l.client.Get(ctx, segmentKey(l.shard, name.number))
	if err != nil {
		return nil, err
	}
	if stored.Revision == 0 {
		return nil, errors.Wrapf(errSegmentMissing, "shard %d, segment %d", l.shard, name.number)
	}
	value, err := decodeShard(stored.Data)
	return value.records, err
}

// segmentRecords returns the records of a sealed segment, from memory if they are held.
func (l *shardLog) segmentRecords(ctx context.Context, name segmentName) ([]record, error) {
	if records, held := l.recent.find(name); held {
		return records, nil
	}
	return l.readSegment(ctx, name)
}

// indexSegments returns the indexes of a head's segments and reads those that are
// not known yet. Indexes read before a failed read are kept for the next attempt: a
// new owner has many segments to read, and while the store loses responses some
// read fails in each attempt.
//
// A segment that the head names and the store has lost is written again if its records
// are held.
func (l *shardLog) indexSegments(ctx context.Context, names []segmentName, epoch store.Epoch) ([]segmentIndex, error) {
	if l.readEpoch != epoch {
		l.readIndexes, l.readEpoch = nil, epoch
	}
	indexes := make([]segmentIndex, 0, len(names))
	for _, name := range names {
		index, found := l.knownIndex(name, epoch)
		if !found {
			records, err := l.readOrRestoreSegment(ctx, name)
			if err != nil {
				l.readIndexes = indexes
				return nil, err
			}
			if l.now().Sub(name.sealedAt) < maxCopyAge+maxClockSkew {
				l.keepSegment(name, records)
			}
			index = newSegmentIndex(name, records)
		}
		indexes = append(indexes, index)
	}
	l.readIndexes = indexes
	return indexes, nil
}

// readOrRestoreSegment reads a segment. One that is missing is written again under its
// name if its records are held, so that the head stays valid for all owners. A segment
// that only a stale read did not show makes that write fail.
func (l *shardLog) readOrRestoreSegment(ctx context.Context, name segmentName) ([]record, error) {
	records, err := l.readSegment(ctx, name)
	held, found := l.recent.find(name)
	if !found || !errors.Is(err, errSegmentMissing) {
		return records, err
	}
	encoded, err := encodeRecords(held)
	if err != nil {
		return nil, err
	}
	return held, l.writeSegment(ctx, name, encoded)
}

// knownIndex returns the index of a segment that was read before. In a later epoch the
// name of a recent segment may belong to another one.
func (l *shardLog) knownIndex(name segmentName, epoch store.Epoch) (segmentIndex, bool) {
	known := l.readIndexes
	if _, recent := l.recent.find(name); epoch == l.epoch || !recent {
		known = slices.Concat(known, l.state.indexes, l.lostSegments)
	}
	i := slices.IndexFunc(known, func(index segmentIndex) bool { return index.name.equal(name) })
	if i < 0 {
		return segmentIndex{}, false
	}
	return known[i], true
}

// keepSegment keeps the records of a segment that was read. Those held under the same
// name, from an earlier epoch, become lost records.
func (l *shardLog) keepSegment(name segmentName, records []record) {
	if held, found := l.recent.find(name); found {
		l.lostRecords = append(l.lostRecords, held...)
	}
	l.recent = l.recent.with(recentSegment{name: name, records: records, learnedAt: l.now()})
}

// sealedRecords returns the records of the batch's keys in sealed segments. Only
// keys that the indexes match, usually because they were claimed before, need a
// store read.
func (l *shardLog) sealedRecords(ctx context.Context, batch []request) (sealedRecords, error) {
	sealed := newSealedRecords()
	hashesBySegment := make(map[int][]uint64)
	for _, r := range batch {
		hash := record(r).hash()
		for _, position := range l.state.candidateSegments(hash, l.now()) {
			hashesBySegment[position] = append(hashesBySegment[position], hash)
		}
		for _, index := range l.lostSegments {
			if !index.name.expired(l.now()) && index.mayHold(hash) {
				sealed.markUnreadable([]uint64{hash}, errors.Wrapf(errSegmentMissing, "shard %d, segment %d", l.shard, index.name.number))
			}
		}
	}
	for position, index := range l.state.indexes {
		hashes := hashesBySegment[position]
		if len(hashes) == 0 {
			continue
		}
		records, err := l.segmentRecords(ctx, index.name)
		switch {
		case errors.Is(err, errSegmentMissing), errors.Is(err, errCorrupt):
			sealed.markUnreadable(hashes, err)
		case err != nil:
			return sealedRecords{}, err
		default:
			sealed.add(hashes, records)
		}
	}
	return sealed, nil
}
