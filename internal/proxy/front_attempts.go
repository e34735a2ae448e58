package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// run makes attempts until one has a response for the caller or no other is allowed.
func (f *front) run(ctx context.Context, c *call) (*answer, *refusal) {
	var last *refusal
	for bounces := 0; ; {
		entry, ok := f.choose(c)
		if !ok {
			return nil, f.exhausted(c, last)
		}
		found, refused := f.attempt(ctx, c, entry)
		if refused == nil {
			if refused = f.reject(ctx, c, found); refused == nil {
				return found, nil
			}
			last = refused
			continue
		}
		last = refused
		c.note(refused)
		switch {
		case refused.cancelled || refused.code == result.Quarantined || (c.unknown && !c.job.idempotent):
			return nil, refused
		case refused.arrived:
			if !f.mayRepeat(ctx, c) {
				return nil, f.exhausted(c, refused)
			}
		default:
			f.metrics.bounced.Inc(1)
			if bounces++; bounces >= f.config.MaxRefusals || ctx.Err() != nil {
				return nil, f.exhausted(c, refused)
			}
		}
	}
}

// discardForRetry discards a failure response if the request may be retried at
// another server, and takes the retry from the budget. It returns nil when the
// response goes to the caller.
func (f *front) reject(ctx context.Context, c *call, found *answer) *refusal {
	if !f.isRepeatable(c, found) {
		return nil
	}
	refused := &refusal{code: result.OutcomeUnknown, message: "the server responded with status " + strconv.Itoa(found.status), arrived: true}
	c.note(refused)
	if !f.mayRepeat(ctx, c) {
		return nil
	}
	found.finish(false)
	return refused
}

// isRetryable reports whether a response is a failure that may not occur at another
// server, to an idempotent request.
func (f *front) isRepeatable(c *call, found *answer) bool {
	return c.job.idempotent && found.status >= http.StatusInternalServerError && found.status != http.StatusGatewayTimeout
}

// takeRetry reports whether a request that may have reached a server may be sent to
// another one, and takes the retry from the budget.
func (f *front) mayRepeat(ctx context.Context, c *call) bool {
	if c.arrivals >= c.route.MaxAttempts || ctx.Err() != nil || !c.job.body.CanSend() {
		return false
	}
	now := f.deps.Now()
	if c.job.deadline.Sub(now) < f.deps.Balancer.Expected(c.job.route) {
		return false
	}
	nodes := max(1, len(f.deps.View().Entries()))
	if !c.budget.TakeRetry(now, f.config.BudgetSlack*slackShare/float64(nodes)) {
		f.metrics.denied.Inc(1)
		return false
	}
	f.metrics.repeated.Inc(1)
	return true
}

// slackShare is the part of the fleet's retry slack that the nodes divide. The rest
// covers retries of the calls that a retried request makes.
const slackShare = 0.5

// finalRefusal returns the refusal for the caller when no further attempt is allowed.
func (f *front) exhausted(c *call, last *refusal) *refusal {
	if last == nil {
		return refuse(result.NoServer, "no server of service "+c.job.service+" is ready")
	}
	if c.unknown && last.notRun() {
		return refuse(result.OutcomeUnknown, "an earlier attempt may have run; then: "+last.message)
	}
	return last
}

// chooseNode returns the node of the next attempt; false when there is none left.
func (f *front) choose(c *call) (fleet.Entry, bool) {
	now := f.deps.Now()
	candidates := f.deps.View().Ready(c.job.service)
	choice, found := f.deps.Balancer.Choose(now, candidates, balance.Request{
		Route:     c.job.route,
		Remaining: c.job.due.Sub(now),
		Objective: c.route.Objective,
		Excluded:  c.excluded,
		Random:    f.deps.Random,
	})
	if !found {
		return fleet.Entry{}, false
	}
	c.choice = choice
	c.excluded = append(c.excluded, choice.Entry.Node)
	c.job.maxWait = f.longestWait(c, now)
	return choice.Entry, true
}

// maxQueueWait returns the longest predicted wait with which the inbound proxy queues
// the request: the time with which it still meets its objective. A request that can't
// meet it any more is marked late, which puts it behind those that can, and is
// refused when its predicted wait exceeds a share of the objective.
func (f *front) longestWait(c *call, now time.Time) time.Duration {
	spent := f.deps.Balancer.Expected(c.job.route) + c.choice.RTT
	if left := c.job.due.Sub(now) - spent; left > 0 {
		return left
	}
	c.job.late = true
	return max(min(c.job.deadline.Sub(now)-spent, c.route.Objective/lateWaitShare), 0)
}

// lateWaitDivisor divides the objective of a late request into its longest predicted
// wait.
const lateWaitShare = 2

// attempt sends the request to the inbound proxy of a node and reports the outcome to
// the balancer.
func (f *front) attempt(ctx context.Context, c *call, entry fleet.Entry) (*answer, *refusal) {
	c.attempts++
	sent := f.deps.Now()
	var found *answer
	var refused *refusal
	var report *balance.Report
	if entry.Node == f.config.Node {
		var local balance.Report
		found, refused, local = f.gate.run(ctx, c.job)
		report = &local
	} else {
		found, refused, report = f.sendToGate(ctx, c, entry)
	}
	now := f.deps.Now()
	if refused != nil {
		f.noteRefusal(now, entry, refused)
	}
	f.deps.Balancer.Done(now, entry.Node, c.job.route, report, now.Sub(sent))
	if refused != nil {
		return nil, refused
	}
	kept, refused := keep(found, f.config.MaxBufferedBytes)
	if refused == nil && entry.Node != f.config.Node {
		read := f.deps.Now()
		f.deps.Balancer.Transferred(read, entry.Node, kept.length, read.Sub(now))
	}
	return kept, refused
}

// reportRefusal tells the balancer about a node that is unreachable or has no server.
func (f *front) noteRefusal(now time.Time, entry fleet.Entry, refused *refusal) {
	switch {
	case refused.unreachable:
		f.deps.Balancer.Unreachable(now, entry.Node)
		f.deps.Suspect(entry)
	case refused.code == result.Draining || refused.code == result.ServerGone:
		f.deps.Balancer.NoServer(now, entry.Node)
	}
}
