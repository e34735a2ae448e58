package slots

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Controller admits the requests of the server beside the node. Its lock is held
// for one decision; no other server's requests share it.
type Controller struct {
	now func() time.Time

	mu    sync.Mutex
	queue *queue
}

// NewController returns a controller that refuses every request until Open.
func NewController(now func() time.Time) *Controller {
	c := &Controller{now: now, queue: newQueue()}
	c.queue.closed = result.Errorf(result.ServerGone, "no backend server is known")
	return c
}

// Open lets requests in, up to a number of slots at once.
func (c *Controller) Open(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.open(c.now(), slots)
}

// Close refuses waiting and new requests with a reason. Running ones go on.
func (c *Controller) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.close(reason)
}

// Acquire waits for a slot. The returned function frees it and must be called
// once, with whether the server finished the request. An error says that the
// request has not run and why; its code is that of package result.
func (c *Controller) Acquire(ctx context.Context, request Request) (release func(complete bool), err error) {
	c.mu.Lock()
	t, err := c.queue.offer(c.now(), request)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if err := c.wait(ctx, t); err != nil {
		return nil, err
	}
	if t.refused != nil {
		return nil, t.refused
	}
	return func(complete bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queue.finish(c.now(), t, complete)
	}, nil
}

// wait waits until the request may run. It ends early when the request could not
// be served before its deadline any more.
func (c *Controller) wait(ctx context.Context, t *ticket) error {
	select {
	case <-t.admitted:
		return nil
	default:
	}
	timer := time.NewTimer(c.lastStart(t))
	defer timer.Stop()
	select {
	case <-t.admitted:
		return nil
	case <-ctx.Done():
	case <-timer.C:
	}
	c.mu.Lock()
	abandoned := c.queue.abandon(t)
	c.mu.Unlock()
	if !abandoned {
		return nil
	}
	if ctx.Err() != nil {
		return result.Wrap(ctx.Err(), result.DeadlineNotRun, "the request ended before it got a slot")
	}
	return result.Errorf(result.DeadlineNotRun, "no slot became free in time for the deadline")
}

// lastStart returns the time until a request must start to be served before its
// deadline.
func (c *Controller) lastStart(t *ticket) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return t.request.Deadline.Sub(now) - time.Duration(c.queue.expect(now, t.request.Route))
}

// Load returns the state of the queue.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.load(c.now())
}
