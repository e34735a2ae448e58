package slots

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Controller admits requests to the local backend server. Its lock is held for one
// decision at a time and is not shared with the requests of other servers.
type Controller struct {
	now func() time.Time

	mu    sync.Mutex
	queue *queue
	// limitTimer fires when the rate limit lets the next waiting request start.
	limitTimer *time.Timer
}

// NewController returns a controller that refuses every request until Open is
// called.
func NewController(now func() time.Time) *Controller {
	c := &Controller{now: now, queue: newQueue()}
	c.queue.closeReason = result.Errorf(result.ServerGone, "no backend server has been announced")
	return c
}

// Open admits requests, at most slots of them at once.
func (c *Controller) Open(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.open(c.now(), slots)
	c.scheduleStart()
}

// SetLimit bounds the rate at which requests start, in requests a second, or ends the
// bound with NoLimit. Waiting requests that can't be served in time at the new rate are
// refused. It reports whether a bound has begun or ended.
func (c *Controller) SetLimit(perSecond float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.queue.limit != nil
	if c.queue.setLimit(c.now(), perSecond) {
		c.scheduleStart()
	}
	return before != (c.queue.limit != nil)
}

// Charge counts a request that is sent to the server without a slot of its own.
func (c *Controller) Charge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.charge(c.now())
}

// scheduleStart sets the timer to the next start that only the rate limit delays. The
// caller holds the lock.
func (c *Controller) scheduleStart() {
	wait, ok := c.queue.nextStart(c.now())
	switch {
	case !ok:
	case c.limitTimer == nil:
		c.limitTimer = time.AfterFunc(wait, c.startDue)
	default:
		c.limitTimer.Reset(wait)
	}
}

// startDue starts the requests that the rate limit lets start by now.
func (c *Controller) startDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.dispatch(c.now())
	c.scheduleStart()
}

// Close refuses waiting and new requests with reason. Running requests continue.
func (c *Controller) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.close(c.now(), reason)
}

// Acquire waits for a slot. The returned function frees the slot and must be called
// exactly once; complete says whether the server finished the request. An error
// means that the request has not run; result.CodeOf returns its code.
func (c *Controller) Acquire(ctx context.Context, request Request) (release func(complete bool), err error) {
	c.mu.Lock()
	t, err := c.queue.submit(c.now(), request)
	c.scheduleStart()
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := c.wait(ctx, t); err != nil {
		return nil, err
	}
	if t.refusal != nil {
		return nil, t.refusal
	}
	return func(complete bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queue.finish(c.now(), t, complete)
		c.scheduleStart()
	}, nil
}

// wait blocks until the request may run. It returns an error when the context ends
// or when the request can no longer be served before its deadline.
func (c *Controller) wait(ctx context.Context, t *ticket) error {
	select {
	case <-t.admitted:
		return nil
	default:
	}
	timer := time.NewTimer(c.timeToLatestStart(t))
	defer timer.Stop()
	select {
	case <-t.admitted:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	c.mu.Lock()
	abandoned := c.queue.abandon(c.now(), t)
	c.mu.Unlock()
	if !abandoned {
		return nil
	}
	if ctx.Err() != nil {
		return result.Wrap(ctx.Err(), result.DeadlineNotRun, "the context ended before a slot became free")
	}
	return result.Errorf(result.DeadlineNotRun, "no slot became free in time for the deadline")
}

// timeToLatestStart returns the time until the latest start with which the request
// is still expected to meet its deadline.
func (c *Controller) timeToLatestStart(t *ticket) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return t.request.Deadline.Sub(now) - time.Duration(c.queue.predictHoldTime(now, t.request.Route))
}

// Load returns the state of the queue.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.load(c.now())
}
