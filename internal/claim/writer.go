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
	// maxQueuedRequests bounds the requests that wait for one shard.
	maxQueuedRequests = 4096
	// maxBatchRequests and maxBatchBytes bound one write, so that a head below its seal
	// size never exceeds the store's limit.
	maxBatchRequests = 1024
	maxBatchBytes    = 256 << 10
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
	queue   []*pendingRequest
	running bool
	log     *shardLog
	// idleTimer drops the log when the shard has not been used for a while.
	idleTimer *time.Timer
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
	p := &pendingRequest{request: r, ctx: ctx, done: make(chan outcome, 1)}
	if err := w.enqueue(p); err != nil {
		return outcome{err: err}, false
	}
	select {
	case answer := <-p.done:
		return answer, p.maybeStored
	case <-ctx.Done():
		return w.cancelRequest(p)
	}
}

// cancelRequest withdraws a request whose context ended. A request that is being
// written may be recorded.
func (w *writer) cancelRequest(p *pendingRequest) (outcome, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case answer := <-p.done:
		return answer, p.maybeStored
	default:
	}
	for i, waiting := range w.queue {
		if waiting == p {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			return outcome{err: p.ctx.Err()}, p.maybeStored
		}
	}
	return outcome{err: p.ctx.Err()}, true
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

// run writes batches until no request waits.
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
		if w.finishIfIdle() {
			return
		}
	}
}

// writeBatch records one batch; false when the store did not take it, and then
// its requests wait again.
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
		w.requeue(batch, log.maybeStored)
		return false
	}
	for i, p := range batch {
		p.done <- outcomes[i]
	}
	return true
}

// nextBatch removes the next batch from the waiting requests.
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

// requeue makes the requests wait again, except those whose callers gave up.
func (w *writer) requeue(batch []*pendingRequest, uncertain bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var alive []*pendingRequest
	for _, p := range batch {
		p.maybeStored = p.maybeStored || uncertain
		if p.ctx.Err() == nil {
			alive = append(alive, p)
		}
	}
	w.queue = append(alive, w.queue...)
}

// finishIfIdle ends the run when no request waits.
func (w *writer) finishIfIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		return false
	}
	w.running = false
	w.idleTimer = time.AfterFunc(w.config.IdleTimeout, w.dropLog)
	return true
}

// dropLog frees the memory of an unused shard.
func (w *writer) dropLog() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		w.log = nil
	}
}

// failQueued answers all waiting requests when the node stops.
func (w *writer) failQueued() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.queue {
		p.done <- outcome{err: errStopped}
	}
	w.queue = nil
	w.running = false
}

// sleep pauses unless the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
