package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
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
	if err := l.writeSegment(ctx, name); err != nil {
		return nil, err
	}
	l.metrics.sealed.Inc(1)
	return remaining.afterSeal(name)
}

// writeSegment stores the head's records under a key that the store deletes when
// its lease expires.
func (l *shardLog) writeSegment(ctx context.Context, name segmentName) error {
	if err := l.acquire(ctx); err != nil {
		return err
	}
	lease, err := l.client.Grant(ctx, segmentTTL)
	if err != nil {
		return err
	}
	_, err = l.client.CompareAndSwap(ctx, segmentKey(l.shard, name.number), 0, l.state.encoded, lease)
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

// indexSegments returns the indexes of a head's segments and reads those that are
// not known yet. Indexes read before a failed read are kept for the next attempt: a
// new owner has many segments to read, and while the store loses responses some
// read fails in each attempt.
func (l *shardLog) indexSegments(ctx context.Context, names []segmentName) ([]segmentIndex, error) {
	known := make(map[uint64]segmentIndex)
	for _, index := range append(l.state.indexes, l.readIndexes...) {
		known[index.name.number] = index
	}
	indexes := make([]segmentIndex, 0, len(names))
	for _, name := range names {
		index, found := known[name.number]
		if !found {
			records, err := l.readSegment(ctx, name)
			if err != nil {
				l.readIndexes = indexes
				return nil, err
			}
			index = newSegmentIndex(name, records)
		}
		indexes = append(indexes, index)
	}
	l.readIndexes = nil
	return indexes, nil
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
	}
	for position, index := range l.state.indexes {
		hashes := hashesBySegment[position]
		if len(hashes) == 0 {
			continue
		}
		records, err := l.readSegment(ctx, index.name)
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
