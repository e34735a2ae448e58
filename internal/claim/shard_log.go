package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxCommitAttempts bounds the writes of one commit; the writer tries again later
	// with backoff.
	maxCommitAttempts = 4
	// segmentTTL is how long the store keeps a sealed segment. The hour above
	// the retention covers clock errors and the time between a record and its
	// seal.
	segmentTTL = Retention + time.Hour
	// maxSegments bounds the index of sealed segments: 512 segments of 4,096
	// records take 16 MB.
	maxSegments = 512
)

var (
	// errContention means that other owners kept winning the writes.
	errContention = errors.New("the shard was changed by others too often")
	// errShardFull means that a shard reached its size limit.
	errShardFull = errors.New("the shard is full")
	// errSegmentMissing means that a segment that must still exist was not found.
	errSegmentMissing = errors.New("a sealed segment is missing")
)

// shardLog records batches in one shard of the store. It is not safe for
// concurrent use; several logs of one shard, on one node or many, are.
type shardLog struct {
	shard   int
	client  store.Client
	config  Config
	now     func() time.Time
	metrics *metrics
	// acquire waits for the right to one more store write.
	acquire func(ctx context.Context) error

	state *shardState
	// readIndexes are the segments that a refresh read before it failed.
	readIndexes []segmentIndex
	// stale is set while the store may hold a newer revision.
	stale bool
	// maybeStored is set when a write of the last commit may have taken effect
	// although the commit failed.
	maybeStored bool
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

// commit records a batch and answers its requests. On an error nothing is
// granted, and uncertain tells whether records may be stored all the same. The
// caller has acquired the first write.
func (l *shardLog) commit(ctx context.Context, batch []request) ([]outcome, error) {
	l.maybeStored = false
	confirmed := false
	for try := range maxCommitAttempts {
		if l.stale {
			if err := l.refresh(ctx); err != nil {
				return nil, err
			}
			confirmed = true
		}
		sealed, err := l.sealedRecords(ctx, batch)
		if err != nil {
			return nil, err
		}
		appended, outcomes := l.state.decide(batch, sealed)
		if len(appended) == 0 && confirmed {
			return outcomes, nil
		}
		l.stale = true
		if len(appended) == 0 {
			continue
		}
		done, err := l.tryWrite(ctx, try, appended)
		if err != nil {
			return nil, err
		}
		if done {
			return outcomes, nil
		}
	}
	return nil, errContention
}

// tryWrite appends records; false without an error means that the ledger must
// be read again. After a lost answer the records themselves tell whether the
// write took effect, because every attempt has its own id.
func (l *shardLog) tryWrite(ctx context.Context, try int, appended []record) (bool, error) {
	if try > 0 {
		if err := l.acquire(ctx); err != nil {
			return false, err
		}
	}
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

// write appends records to the head, which is sealed first when it is large.
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
	revision, err := l.client.CompareAndSwap(ctx, headKey(l.shard), base.revision, data, 0)
	if err != nil {
		return err
	}
	base.append(revision, appended, encoded)
	l.state = base
	l.metrics.headWrites.Inc(1)
	l.metrics.recorded.Inc(int64(len(appended)))
	return nil
}

// refresh reads the newest head. An old value that the store answers is ignored
// by its revision; a write against it then conflicts.
func (l *shardLog) refresh(ctx context.Context) error {
	stored, err := l.client.GetNewer(ctx, headKey(l.shard), l.state.revision)
	if err != nil {
		return err
	}
	if stored.Revision <= l.state.revision {
		l.stale = false
		return nil
	}
	value, err := decodeShard(stored.Data)
	if err != nil {
		return err
	}
	indexes, err := l.indexSegments(ctx, value.segments)
	if err != nil {
		return err
	}
	fresh, err := newShardState(stored.Revision, value, indexes)
	if err != nil {
		return err
	}
	l.state = fresh
	l.stale = false
	return nil
}
