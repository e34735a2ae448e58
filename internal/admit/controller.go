package admit

import (
	"context"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// growthInterval is how often waiting calls are looked at while the working
// limit grows during the ramp or after a refusal.
const growthInterval = 50 * time.Millisecond

// Controller is the Admitter of one backend server. Its lock is held for one
// decision about this server's calls; no other server's calls share it.
type Controller struct {
	now func() time.Time

	mu      sync.Mutex
	queue   *Queue
	timer   *time.Timer
	drained chan struct{}
}

// NewController returns a gate without a server; Open gives it one.
func NewController(now func() time.Time) *Controller {
	return &Controller{now: now, queue: NewQueue(), drained: make(chan struct{})}
}

// Open sets the capacity of a server that became ready and ends a drain.
func (c *Controller) Open(capacity Capacity) {
	c.update(func(now time.Time) {
		if c.queue.Draining() {
			c.drained = make(chan struct{})
		}
		c.queue.Open(now, capacity)
	})
}

// Resize changes the slots and connections of the server without a new ramp.
func (c *Controller) Resize(slots, connections int) {
	c.update(func(now time.Time) { c.queue.Resize(now, slots, connections) })
}

// ServerRefused lowers the working limit for a short time because the server
// answered 503 not-run. The call's release function is called afterwards.
func (c *Controller) ServerRefused() {
	c.update(c.queue.ServerRefused)
}

// Drain refuses the waiting calls and all new ones with the code Draining.
// Running calls finish; WaitDrained waits for them.
func (c *Controller) Drain() {
	c.update(func(time.Time) {
		if !c.queue.Draining() {
			c.queue.Drain()
		}
	})
}

// WaitDrained waits until Drain was called and no call runs.
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

// AcquireWithin is Acquire for a call that should be answered at the objective
// time to meet its latency objective. During sustained overload a call that
// would miss it is refused at once.
func (c *Controller) AcquireWithin(ctx context.Context, priority config.Priority, objective time.Time) (func(), error) {
	if ctx.Err() != nil {
		return nil, result.Wrap(ctx.Err(), result.DeadlineNotRun, "the call ended before it got a slot")
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

// Load implements Admitter. The slots are those that may be used now.
func (c *Controller) Load() (inFlight, slots, queued int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Running(), c.queue.Slots(c.now()), c.queue.Waiting()
}

// Counts returns the calls counted so far.
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
		return result.Wrap(ctx.Err(), result.DeadlineNotRun, "the call ended before it got a slot")
	}
}

// update changes the queue under the lock and does what follows from the change.
func (c *Controller) update(change func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.now())
	c.announceDrained()
	c.armTimer()
}

func (c *Controller) announceDrained() {
	if !c.queue.Draining() || c.queue.Running() > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}

// armTimer makes sure that waiting calls start when the working limit grows
// although no call finishes.
func (c *Controller) armTimer() {
	if c.timer != nil || c.queue.Waiting() == 0 {
		return
	}
	c.timer = time.AfterFunc(growthInterval, c.grow)
}

func (c *Controller) grow() {
	c.update(func(now time.Time) {
		c.timer = nil
		c.queue.Dispatch(now)
	})
}
