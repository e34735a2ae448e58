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
	// maxQueuedRequests limits the requests that wait for one shard.
	maxQueuedRequests = 4096
	// maxBatchRequests and maxBatchBytes limit one write, so that a head below its
	// seal size never exceeds the value limit of the store.
	maxBatchRequests = 1024
	maxBatchBytes    = 256 << 10
	// minBackoff and maxBackoff limit the pause after a failed commit.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// minCheckPause is the pause before an idle shard is first checked for records that
	// the store has lost. Each further pause is as long as the shard has been idle, up
	// to maxCheckPause: after 5, 10, 20, 40 and 70 s.
	minCheckPause = 5 * time.Second
	maxCheckPause = maxCopyAge / 2
)

var (
	// errQueueFull means that maxQueuedRequests requests wait for the shard.
	errQueueFull = errors.Errorf("the write queue of the shard is full: %d requests wait", maxQueuedRequests)
	// errStopped means that the node is stopping.
	errStopped = errors.New("the node is stopping")
)

// writer queues the requests of one shard and records them in batches, one batch
// at a time. It is safe for concurrent use.
type writer struct {
	// base is cancelled when the node stops.
	base    context.Context
	config  Config
	metrics *metrics
	limiter *rate.Limiter
	newLog  func(acquire func(context.Context) error) *shardLog

	mu      sync.Mutex
	queue   []*pendingRequest
	running bool
	log     *shardLog
	// idleTimer checks an idle log and drops it after Config.IdleTimeout without a
	// request.
	idleTimer *time.Timer
	// usedAt is the time of the last request.
	usedAt time.Time
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

// submit waits until the request is recorded or its context ends. After an
// error, maybeStored tells whether the request may be recorded nevertheless.
func (w *writer) submit(ctx context.Context, r request) (res outcome, maybeStored bool) {
	p := &pendingRequest{request: r, ctx: ctx, done: make(chan outcome, 1)}
	if err := w.enqueue(p); err != nil {
		return outcome{err: err}, false
	}
	select {
	case res := <-p.done:
		return res, p.maybeStored
	case <-ctx.Done():
		return w.cancelRequest(p)
	}
}

// cancelRequest removes a request whose context ended from the queue. A request
// that is being written may still be recorded.
func (w *writer) cancelRequest(p *pendingRequest) (outcome, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case res := <-p.done:
		return res, p.maybeStored
	default:
	}
	for i, queued := range w.queue {
		if queued == p {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return outcome{err: p.endError()}, p.maybeStored
		}
	}
	return outcome{err: p.endError()}, true
}

func (w *writer) enqueue(p *pendingRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedRequests {
		w.metrics.queueFull.Inc(1)
		return errQueueFull
	}
	if w.base.Err() != nil {
		return errStopped
	}
	w.queue = append(w.queue, p)
	w.usedAt = time.Now()
	if w.running {
		return nil
	}
	w.running = true
	if w.idleTimer != nil {
		w.idleTimer.Stop()
	}
	if w.log == nil {
		w.log = w.newLog(w.limiter.Wait)
	}
	go w.run(w.log)
	return nil
}

// run writes batches until the queue is empty.
func (w *writer) run(log *shardLog) {
	backoff := minBackoff
	for {
		sleep(w.base, w.config.BatchWindow)
		// Requests that arrive while the limiter waits join the batch.
		if w.limiter.Wait(w.base) != nil {
			w.failQueued()
			return
		}
		if w.writeBatch(log) {
			backoff = minBackoff
		} else {
			sleep(w.base, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, maxBackoff)
		}
		if w.finishIfIdle(log) {
			return
		}
	}
}

// writeBatch records one batch. It returns false when the commit failed, after
// which the requests are queued again.
func (w *writer) writeBatch(log *shardLog) bool {
	batch := w.nextBatch()
	if len(batch) == 0 {
		return true
	}
	requests := make([]request, len(batch))
	for i, p := range batch {
		requests[i] = p.request
	}
	outcomes, err := log.commit(w.base, requests)
	if err != nil {
		w.metrics.failedWrites.Inc(1)
		w.requeue(batch, log.maybeStored, err)
		return false
	}
	for i, p := range batch {
		p.done <- outcomes[i]
	}
	return true
}

// nextBatch removes the next batch from the queue.
func (w *writer) nextBatch() []*pendingRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, size := 0, 0
	for count < len(w.queue) && count < maxBatchRequests {
		size += w.queue[count].estimatedBytes()
		if size > maxBatchBytes {
			break
		}
		count++
	}
	batch := w.queue[:count:count]
	w.queue = append([]*pendingRequest(nil), w.queue[count:]...)
	return batch
}

// requeue puts the requests back at the head of the queue, except those whose
// contexts ended.
func (w *writer) requeue(batch []*pendingRequest, maybeStored bool, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var alive []*pendingRequest
	for _, p := range batch {
		p.maybeStored, p.lastError = p.maybeStored || maybeStored, cause
		if p.ctx.Err() == nil {
			alive = append(alive, p)
		}
	}
	w.queue = append(alive, w.queue...)
}

// finishIfIdle ends the run and starts the idle timer when the queue is empty.
func (w *writer) finishIfIdle(log *shardLog) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		return false
	}
	w.running = false
	w.idleTimer = time.AfterFunc(w.idlePause(log), w.endIdle)
	return true
}

// idlePause returns the time until the log must be checked or can be dropped.
func (w *writer) idlePause(log *shardLog) time.Duration {
	idle := time.Since(w.usedAt)
	if log.canBeDropped() {
		return max(0, w.config.IdleTimeout-idle)
	}
	return min(max(minCheckPause, idle), maxCheckPause)
}

// endIdle frees the memory of an idle shard, or checks the shard while the store may
// come back from a copy that lacks some of its records.
func (w *writer) endIdle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.running || w.log == nil || w.base.Err() != nil:
	case w.log.canBeDropped():
		w.log = nil
	default:
		w.running = true
		go w.checkLog(w.log)
	}
}

// checkLog checks the log and then records the requests that have arrived meanwhile.
func (w *writer) checkLog(log *shardLog) {
	if w.limiter.Wait(w.base) != nil {
		w.failQueued()
		return
	}
	if err := log.check(w.base); err != nil {
		w.metrics.failedChecks.Inc(1)
	}
	if !w.finishIfIdle(log) {
		w.run(log)
	}
}

// failQueued ends all queued requests with errStopped when the node stops.
func (w *writer) failQueued() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.queue {
		p.done <- outcome{err: errStopped}
	}
	w.queue = nil
	w.running = false
}

// sleep waits for the pause or until the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
