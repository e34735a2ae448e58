package claim

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// knownRecords returns the records that this log knows to be recorded and that the shard
// must hold in an epoch, each once.
func (l *shardLog) knownRecords(epoch store.Epoch) []record {
	// A head of the same epoch lacks records only after a write that expected a
	// revision of an earlier epoch which the store has given out again. The writer
	// finds out by its first check, which is within maxCopyAge.
	limit := 2 * maxCopyAge
	if epoch > l.epoch {
		// Records that were known for longer may have expired.
		limit = Retention
	}
	var records []record
	if l.now().Sub(l.changedAt) < limit {
		for _, segment := range l.recent {
			records = append(records, segment.records...)
		}
		records = append(records, l.state.value.records...)
	}
	records = append(records, l.lostRecords...)
	seen := make(map[recordID]bool, len(records))
	return slices.DeleteFunc(records, func(r record) bool {
		known := seen[r.id()]
		seen[r.id()] = true
		return known
	})
}

// missingFrom returns the records that neither the head of a state nor its segments
// hold.
func (l *shardLog) missingFrom(ctx context.Context, fresh *shardState, records []record) ([]record, error) {
	present := make(map[recordID]bool, len(fresh.value.records))
	for _, r := range fresh.value.records {
		present[r.id()] = true
	}
	checked := make(map[int]bool)
	var missing []record
	for _, r := range records {
		if present[r.id()] {
			continue
		}
		for _, position := range fresh.candidateSegments(r.hash(), l.now()) {
			if checked[position] {
				continue
			}
			checked[position] = true
			held, err := l.segmentRecords(ctx, fresh.indexes[position].name)
			if err != nil && !errors.Is(err, errSegmentMissing) && !errors.Is(err, errCorrupt) {
				return nil, err
			}
			for _, r := range held {
				present[r.id()] = true
			}
		}
		if !present[r.id()] {
			missing = append(missing, r)
		}
	}
	return missing, nil
}

// replaceState replaces the state by one that was read from the store in an epoch.
// Records that it lacks although they were recorded are kept for writeLostRecords.
func (l *shardLog) replaceState(ctx context.Context, fresh *shardState, epoch store.Epoch) error {
	missing, err := l.missingFrom(ctx, fresh, l.knownRecords(epoch))
	if err != nil {
		return err
	}
	listed := func(name segmentName) bool { return slices.ContainsFunc(fresh.value.segments, name.equal) }
	var lostSegments []segmentIndex
	for _, index := range append(l.lostSegments, l.state.indexes...) {
		_, held := l.recent.find(index.name)
		if !held && !listed(index.name) && !index.name.expired(l.now()) {
			lostSegments = append(lostSegments, index)
		}
	}
	l.metrics.lostRecords.Inc(int64(len(missing)))
	l.lostSegments, l.lostRecords, l.state, l.readIndexes, l.epoch = lostSegments, missing, fresh, nil, epoch
	l.recent = l.recent.filter(func(s recentSegment) bool { return listed(s.name) })
	return nil
}

// writeLostRecords writes the records that the store has lost again; false without an
// error means that the shard must be read again.
func (l *shardLog) writeLostRecords(ctx context.Context) (bool, error) {
	// A lost response concerns none of the batch's records.
	maybeStored := l.maybeStored
	defer func() { l.maybeStored = maybeStored }()
	for len(l.lostRecords) > 0 {
		count, size := 0, 0
		for count < len(l.lostRecords) && count < maxBatchRequests && size < maxBatchBytes {
			encoded, err := encodeRecords(l.lostRecords[count : count+1])
			if err != nil {
				return false, err
			}
			size += len(encoded)
			count++
		}
		done, err := l.tryWrite(ctx, l.lostRecords[:count:count])
		if err != nil || !done {
			return false, err
		}
		l.lostRecords = l.lostRecords[count:]
	}
	return true, nil
}

// check asks the store whether it still holds what this log knows to be recorded, and
// writes again what it has lost. The caller has called acquire for the first write.
func (l *shardLog) check(ctx context.Context) error {
	l.permitted = true
	for range maxCommitAttempts {
		if err := l.refresh(ctx); err != nil {
			return err
		}
		if complete, err := l.writeLostRecords(ctx); err != nil || complete {
			return err
		}
	}
	return errContention
}

// confirm records that the store responded in the epoch of the state to a call that was
// made at calledAt. A copy from which the store is restored later holds what this log
// had learned maxCopyAge before the call, so that is no longer kept.
func (l *shardLog) confirm(calledAt time.Time) {
	l.confirmedAt = calledAt
	l.recent = l.recent.filter(func(s recentSegment) bool { return calledAt.Sub(s.learnedAt) < maxCopyAge })
}

// canBeDropped reports whether the store, and each copy from which it may be restored,
// holds all that the log knows.
func (l *shardLog) canBeDropped() bool {
	if l.changedAt.IsZero() {
		return true
	}
	hasLostSegment := slices.ContainsFunc(l.lostSegments, func(index segmentIndex) bool { return !index.name.expired(l.now()) })
	return len(l.lostRecords) == 0 && !hasLostSegment && l.confirmedAt.Sub(l.changedAt) >= maxCopyAge
}
