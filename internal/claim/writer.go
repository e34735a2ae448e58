package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"rosemaryladder.dev/rosemaryladder/internal/store"
)

const (
	// maxPending bounds the requests that wait for one shard.
	maxPending = 4096
	// maxBatch and maxBatchBytes bound one write, so that a head below its seal
	// size never exceeds the store's limit.
	maxBatch      = 1024
	maxBatchBytes = 256 << 10
	// minBackoff and maxBackoff bound the pause after a failed commit.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

var (
	// errQueueFull means that too many requests wait for the shard.
	errQueueFull = errors.New("too many claims wait for the store")
	// errStopped means that the node is stopping.
	errStopped = errors.New("the node is stopping")
)

// writer collects the requests of one shard and records them in batches, one
// batch at a time. It is safe for concurrent use.
type writer struct {
	// base ends when the node stops.
	base    context.Context
	config  Config
	metrics *metrics
	limiter *rate.Limiter
	newLog  func(acquire func(context.Context) error) *shardLog

	mu      sync.Mutex
	waiting []*pending
	running bool
	log     *shardLog
	// idle drops the log when the shard has not been used for a while.
	idle *time.Timer
}

func newWriter(base context.Context, shard int, client store.Client, config Config, now func() time.Time, metrics *metrics) *writer {
	w := &writer{
		base:    base,
		config:  config,
		metrics: metrics,
		limiter: rate.NewLimiter(rate.Limit(config.WritesPerSecond), config.WriteBurst),
	}
	w.newLog = func(acquire func(context.Context) error) *shardLog {
		return newShardLog(shard, client, config, now, metrics, acquire)
	}
	return w
}

// submit waits until the request is recorded or its context ends. With an
// error, mayBeStored tells whether the request may be recorded all the same.
func (w *writer) submit(ctx context.Context, r request) (answer outcome, mayBeStored bool) {
	p := &pending{request: r, ctx: ctx, answered: make(chan outcome, 1)}
	if err := w.enqueue(p); err != nil {
		return outcome{err: err}, false
	}
	select {
	case answer := <-p.answered:
		return answer, p.uncertain
	case <-ctx.Done():
		return w.giveUp(p)
	}
}

// giveUp withdraws a request whose context ended. A request that is being
// written may be recorded.
func (w *writer) giveUp(p *pending) (outcome, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case answer := <-p.answered:
		return answer, p.uncertain
	default:
	}
	for i, waiting := range w.waiting {
		if waiting == p {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return outcome{err: p.ctx.Err()}, p.uncertain
		}
	}
	return outcome{err: p.ctx.Err()}, true
}

func (w *writer) enqueue(p *pending) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) >= maxPending {
		w.metrics.queueFull.Inc(1)
		return errQueueFull
	}
	if w.base.Err() != nil {
		return errStopped
	}
	w.waiting = append(w.waiting, p)
	if w.running {
		return nil
	}
	w.running = true
	if w.idle != nil {
		w.idle.Stop()
	}
	if w.log == nil {
		w.log = w.newLog(w.limiter.Wait)
	}
	go w.run(w.log)
	return nil
}

// run writes batches until no request waits.
func (w *writer) run(log *shardLog) {
	backoff := minBackoff
	for {
		wait(w.base, w.config.BatchWindow)
		// Requests that arrive while the limiter waits join the batch.
		if w.limiter.Wait(w.base) != nil {
			w.stop()
			return
		}
		if w.writeBatch(log) {
			backoff = minBackoff
		} else {
			wait(w.base, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, maxBackoff)
		}
		if w.finished() {
			return
		}
	}
}

// writeBatch records one batch; false when the store did not take it, and then
// its requests wait again.
func (w *writer) writeBatch(log *shardLog) bool {
	batch := w.take()
	if len(batch) == 0 {
		return true
	}
	requests := make([]request, len(batch))
	for i, p := range batch {
		requests[i] = p.request
	}
	outcomes, err := log.commit(w.base, requests)
	if err != nil {
		w.putBack(batch, log.uncertain)
		return false
	}
	for i, p := range batch {
		p.answered <- outcomes[i]
	}
	return true
}

// take removes the next batch from the waiting requests.
func (w *writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, size := 0, 0
	for count < len(w.waiting) && count < maxBatch {
		size += w.waiting[count].bytes()
		if size > maxBatchBytes {
			break
		}
		count++
	}
	batch := w.waiting[:count:count]
	w.waiting = append([]*pending(nil), w.waiting[count:]...)
	return batch
}

// putBack makes the requests wait again, except those whose callers gave up.
func (w *writer) putBack(batch []*pending, uncertain bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var alive []*pending
	for _, p := range batch {
		p.uncertain = p.uncertain || uncertain
		if p.ctx.Err() == nil {
			alive = append(alive, p)
		}
	}
	w.waiting = append(alive, w.waiting...)
}

// finished ends the run when no request waits.
func (w *writer) finished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) > 0 {
		return false
	}
	w.running = false
	w.idle = time.AfterFunc(w.config.IdleTimeout, w.forget)
	return true
}

// forget frees the memory of an unused shard.
func (w *writer) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		w.log = nil
	}
}

// stop answers all waiting requests when the node stops.
func (w *writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.waiting {
		p.answered <- outcome{err: errStopped}
	}
	w.waiting = nil
	w.running = false
}

// wait pauses unless the context ends.
func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
