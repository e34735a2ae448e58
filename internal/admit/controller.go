package admit

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// dispatchInterval is how often queued calls are dispatched while the
// concurrency limit grows during the ramp or after a refusal by the server.
const dispatchInterval = 50 * time.Millisecond

// Controller is the Admitter of one backend server. Each server has its own
// lock, which is held for a single admission decision.
type Controller struct {
	now func() time.Time

	mu      sync.Mutex
	queue   *Queue
	timer   *time.Timer
	drained chan struct{}
}

// NewController returns a controller without a server; Open sets its capacity.
func NewController(now func() time.Time) *Controller {
	return &Controller{now: now, queue: NewQueue(), drained: make(chan struct{})}
}

// Open sets the capacity of a server that became ready. It ends a drain.
func (c *Controller) Open(capacity Capacity) {
	c.update(func(now time.Time) {
		if c.queue.Draining() {
			c.drained = make(chan struct{})
		}
		c.queue.Open(now, capacity)
	})
}

// Resize changes the slots and connections of the server without starting a new
// ramp.
func (c *Controller) Resize(slots, connections int) {
	c.update(func(now time.Time) { c.queue.Resize(now, slots, connections) })
}

// ServerRefused temporarily lowers the concurrency limit after the server
// responded 503 with the run state not-run. It must be called before the
// release function of the call.
func (c *Controller) ServerRefused() {
	c.update(c.queue.ServerRefused)
}

// Drain refuses all queued and new calls with the code Draining. Running calls
// finish; WaitDrained waits for them.
func (c *Controller) Drain() {
	c.update(func(time.Time) {
		if !c.queue.Draining() {
			c.queue.Drain()
		}
	})
}

// WaitDrained waits until Drain was called and no call is running. It returns
// the error of the context when that ends first.
func (c *Controller) WaitDrained(ctx context.Context) error {
	c.mu.Lock()
	drained := c.drained
	c.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire implements Admitter.
func (c *Controller) Acquire(ctx context.Context, priority config.Priority) (func(), error) {
	return c.AcquireWithin(ctx, priority, time.Time{})
}

// AcquireWithin implements Admitter.
func (c *Controller) AcquireWithin(ctx context.Context, priority config.Priority, objective time.Time) (func(), error) {
	if ctx.Err() != nil {
		return nil, result.Wrap(ctx.Err(), result.DeadlineNotRun, "the call was cancelled or timed out before it got a slot")
	}
	decided := make(chan error, 1)
	deadline, _ := ctx.Deadline()
	request := Request{
		Priority:   priority,
		Deadline:   deadline,
		Objective:  objective,
		OnDecision: func(err error) { decided <- err },
	}
	ticket, running, err := c.offer(request)
	if err != nil {
		return nil, err
	}
	if !running {
		if err := c.wait(ctx, ticket, decided); err != nil {
			return nil, err
		}
	}
	return func() { c.update(func(now time.Time) { c.queue.Finish(now, ticket) }) }, nil
}

// Load implements Admitter. The slots are those that the current concurrency
// limit allows.
func (c *Controller) Load() (inFlight, slots, queued int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Running(), c.queue.Slots(c.now()), c.queue.Waiting()
}

// Counts returns the totals since the controller was created.
func (c *Controller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Counts()
}

func (c *Controller) offer(request Request) (ticket *Ticket, running bool, err error) {
	c.update(func(now time.Time) {
		ticket, err = c.queue.Offer(now, request)
		running = err == nil && ticket.Running()
	})
	return ticket, running, err
}

func (c *Controller) wait(ctx context.Context, ticket *Ticket, decided <-chan error) error {
	select {
	case err := <-decided:
		return err
	case <-ctx.Done():
		c.update(func(now time.Time) { c.queue.Abandon(now, ticket) })
		return result.Wrap(ctx.Err(), result.DeadlineNotRun, "the call was cancelled or timed out before it got a slot")
	}
}

// update applies a change to the queue under the lock, signals a completed
// drain and arms the dispatch timer.
func (c *Controller) update(change func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.now())
	c.signalDrained()
	c.armTimer()
}

func (c *Controller) signalDrained() {
	if !c.queue.Draining() || c.queue.Running() > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

// armTimer schedules a dispatch while calls are queued, so that they start when
// the concurrency limit grows even if no running call finishes.
func (c *Controller) armTimer() {
	if c.timer != nil || c.queue.Waiting() == 0 {
		return
	}
	c.timer = time.AfterFunc(dispatchInterval, c.dispatchOnTimer)
}

func (c *Controller) dispatchOnTimer() {
	c.update(func(now time.Time) {
		c.timer = nil
		c.queue.Dispatch(now)
	})
}
