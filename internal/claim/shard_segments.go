package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// seal writes the head's records to a new segment and returns the ledger that
// remains. Its write succeeds only when the head is still at the sealed
// revision. Otherwise nothing refers to the segment, and its lease ends it.
func (l *shardLog) seal(ctx context.Context) (*ledger, error) {
	kept, err := l.ledger.withoutSegmentsBefore(l.now().Add(-segmentLease))
	if err != nil {
		return nil, err
	}
	if len(kept.value.segments) >= maxSegments {
		l.metrics.shardFull.Inc(1)
		return nil, errShardFull
	}
	// The store keeps milliseconds.
	name := segmentName{number: l.config.Random(), sealedAt: l.now().Truncate(time.Millisecond)}
	if err := l.writeSegment(ctx, name); err != nil {
		return nil, err
	}
	l.metrics.sealed.Inc(1)
	return kept.sealed(name)
}

// writeSegment stores the head's records under a key that the store deletes by
// its lease.
func (l *shardLog) writeSegment(ctx context.Context, name segmentName) error {
	if err := l.acquire(ctx); err != nil {
		return err
	}
	lease, err := l.client.Grant(ctx, segmentLease)
	if err != nil {
		return err
	}
	_, err = l.client.CompareAndSwap(ctx, segmentKey(l.shard, name.number), 0, l.ledger.encoded, lease)
	return err
}

// readSegment reads the records of a sealed segment; none when it has expired.
// Any other missing segment is an error, because its claims would be granted
// again.
func (l *shardLog) readSegment(ctx context.Context, name segmentName) ([]record, error) {
	if name.expired(l.now()) {
		return nil, nil
	}
	stored, err := l.client.Get(ctx, segmentKey(l.shard, name.number))
	if err != nil {
		return nil, err
	}
	if stored.Revision == 0 {
		return nil, errors.Wrapf(errSegmentMissing, "shard %d segment %d", l.shard, name.number)
	}
	value, err := decodeShard(stored.Data)
	return value.records, err
}

// indexSegments returns the indexes of a head's segments and reads those that
// are not known yet.
func (l *shardLog) indexSegments(ctx context.Context, names []segmentName) ([]segmentIndex, error) {
	known := make(map[uint64]segmentIndex)
	for _, index := range l.ledger.indexes {
		known[index.name.number] = index
	}
	indexes := make([]segmentIndex, len(names))
	for i, name := range names {
		index, found := known[name.number]
		if !found {
			records, err := l.readSegment(ctx, name)
			if err != nil {
				return nil, err
			}
			index = newSegmentIndex(name, records)
		}
		indexes[i] = index
	}
	return indexes, nil
}

// sealedRecords returns the records of the batch's keys from sealed segments.
// Only keys that were claimed before need a store read.
func (l *shardLog) sealedRecords(ctx context.Context, batch []request) (map[uint64][]record, error) {
	wanted := make(map[int]bool)
	hashes := make(map[uint64]bool)
	for _, r := range batch {
		hash := record(r).hash()
		hashes[hash] = true
		for _, position := range l.ledger.segmentsWith(hash, l.now()) {
			wanted[position] = true
		}
	}
	found := make(map[uint64][]record)
	for position, index := range l.ledger.indexes {
		if !wanted[position] {
			continue
		}
		records, err := l.readSegment(ctx, index.name)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			if hash := r.hash(); hashes[hash] {
				found[hash] = append(found[hash], r)
			}
		}
	}
	return found, nil
}
