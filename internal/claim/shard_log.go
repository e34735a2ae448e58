package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxCommitAttempts limits the writes of one commit; the writer retries later
	// with backoff.
	maxCommitAttempts = 4
	// segmentTTL is how long the store keeps a sealed segment. The hour above
	// the retention covers clock skew and the time between a record and its seal.
	segmentTTL = Retention + time.Hour
	// maxSegments limits the sealed segments of a shard: the indexes of 512 segments
	// of 1,024 records, the default, take 4 MB.
	maxSegments = 512
)

var (
	// errContention means that no write was confirmed within maxCommitAttempts,
	// usually because other owners changed the shard.
	errContention = errors.Errorf("no write to the shard was confirmed in %d attempts", maxCommitAttempts)
	// errShardFull means that a shard reached its size limit.
	errShardFull = errors.New("the shard has reached its size limit")
	// errSegmentMissing means that the store lacks a segment that has not expired.
	errSegmentMissing = errors.New("a sealed segment is missing from the store")
)

// shardLog records batches in one shard of the store. A shardLog is not safe for
// concurrent use, but several of them, on one node or many, may write to the same
// shard concurrently.
type shardLog struct {
	shard   int
	client  store.Client
	config  Config
	now     func() time.Time
	metrics *metrics
	// acquire waits until the rate limit permits one more store write.
	acquire func(ctx context.Context) error

	state *shardState
	// epoch is the epoch of the store to which the state belongs.
	epoch store.Epoch
	// recent holds the records of the segments that a copy of the store may lack.
	recent recentSegments
	// lostRecords holds the records that the store has lost. Nothing is granted until
	// they are written again.
	lostRecords []record
	// lostSegments holds the indexes of the segments that the store has lost and whose
	// records are not known. The keys that they match are refused.
	lostSegments []segmentIndex
	// changedAt is when the log last learned of records, and confirmedAt the time of
	// the last call to which the store responded in the epoch of the state.
	changedAt, confirmedAt time.Time
	// readIndexes holds the indexes that a failed refresh had read in readEpoch before
	// it failed.
	readIndexes []segmentIndex
	readEpoch   store.Epoch
	// stale is set while the store may hold a newer revision.
	stale bool
	// maybeStored is set when a write of the last commit may have taken effect
	// although the commit failed.
	maybeStored bool
	// permitted is set when acquire has already been called for the next write.
	permitted bool
}

func newShardLog(shard int, client store.Client, config Config, now func() time.Time, metrics *metrics, acquire func(context.Context) error) *shardLog {
	empty, _ := newShardState(0, shardValue{}, nil)
	return &shardLog{
		shard:   shard,
		client:  client,
		config:  config,
		now:     now,
		metrics: metrics,
		acquire: acquire,
		state:   empty,
		stale:   true,
	}
}

// commit records a batch and returns the outcomes of its requests. After an error
// nothing is granted, and maybeStored tells whether records may be stored
// nevertheless. The caller has called acquire for the first write.
func (l *shardLog) commit(ctx context.Context, batch []request) ([]outcome, error) {
	l.maybeStored, l.permitted = false, true
	confirmed := false
	for range maxCommitAttempts {
		if l.stale {
			if err := l.refresh(ctx); err != nil {
				return nil, err
			}
			confirmed = true
		}
		complete, err := l.writeLostRecords(ctx)
		if err != nil {
			return nil, err
		}
		if !complete {
			continue
		}
		sealed, err := l.sealedRecords(ctx, batch)
		if err != nil {
			return nil, err
		}
		appended, outcomes := l.state.decide(batch, sealed)
		if len(appended) == 0 && confirmed {
			return outcomes, nil
		}
		if len(appended) == 0 {
			l.stale = true
			continue
		}
		done, err := l.tryWrite(ctx, appended)
		if err != nil {
			return nil, err
		}
		if done {
			return outcomes, nil
		}
	}
	return nil, errContention
}

// tryWrite appends records; false without an error means that the shard must be
// read again. After a lost response the records read back tell whether the write
// took effect, because every attempt has its own id.
func (l *shardLog) tryWrite(ctx context.Context, appended []record) (bool, error) {
	l.stale = true
	if !l.permitted {
		if err := l.acquire(ctx); err != nil {
			return false, err
		}
	}
	l.permitted = false
	err := l.write(ctx, appended)
	switch {
	case err == nil:
		l.stale = false
		return true, nil
	case errors.Is(err, store.ErrConflict):
		l.metrics.conflicts.Inc(1)
		return false, nil
	case errors.Is(err, store.ErrUnavailable):
		l.metrics.readBacks.Inc(1)
		l.maybeStored = true
		return false, nil
	default:
		return false, err
	}
}

// write appends records to the head and first seals a head that has reached its
// limits.
func (l *shardLog) write(ctx context.Context, appended []record) error {
	base := l.state
	if len(base.value.records) >= l.config.SealRecords || len(base.encoded) >= l.config.SealBytes {
		if sealed, err := l.seal(ctx); err == nil {
			base = sealed
		}
	}
	encoded, err := encodeRecords(appended)
	if err != nil {
		return err
	}
	data, err := base.encodeWith(encoded)
	if err != nil {
		return err
	}
	if len(data) > store.MaxValueBytes {
		l.metrics.shardFull.Inc(1)
		return errShardFull
	}
	calledAt := l.now()
	revision, err := l.client.CompareAndSwap(ctx, headKey(l.shard), base.revision, data, 0)
	if err != nil {
		return err
	}
	l.changedAt = l.now()
	if base != l.state {
		name := base.value.segments[len(base.value.segments)-1]
		l.recent = l.recent.with(recentSegment{name: name, records: l.state.value.records, learnedAt: l.changedAt})
	}
	base.append(revision, appended, encoded)
	l.state = base
	// The first write of a shard expects no revision, so it succeeds in a later epoch too.
	l.epoch = revision.Epoch()
	l.confirm(calledAt)
	l.metrics.headWrites.Inc(1)
	l.metrics.recorded.Inc(int64(len(appended)))
	return nil
}

// refresh reads the newest head. A stale read is ignored by its revision; a write
// based on the older state then conflicts. The head of a later epoch, which may be
// missing, always replaces the state.
func (l *shardLog) refresh(ctx context.Context) error {
	calledAt := l.now()
	stored, err := l.client.GetNewer(ctx, headKey(l.shard), l.state.revision)
	if err != nil {
		return err
	}
	if stored.Epoch <= l.epoch && stored.Revision <= l.state.revision {
		l.stale = false
		l.confirm(calledAt)
		return nil
	}
	value, err := decodeShard(stored.Data)
	if err != nil {
		return err
	}
	indexes, err := l.indexSegments(ctx, value.segments, stored.Epoch)
	if err != nil {
		return err
	}
	fresh, err := newShardState(stored.Revision, value, indexes)
	if err != nil {
		return err
	}
	if err := l.replaceState(ctx, fresh, stored.Epoch); err != nil {
		return err
	}
	l.stale = false
	if stored.Revision > 0 {
		l.changedAt = l.now()
	}
	l.confirm(calledAt)
	return nil
}
