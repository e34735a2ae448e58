package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/ingress"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// run makes attempts until one has a response for the caller or no other is allowed.
func (o *outbound) run(ctx context.Context, c *call) (*serverResponse, *refusalReason) {
	var last *refusalReason
	for refusals := 0; ; {
		if !c.request.body.CanSend() {
			// The attempt before has read a part of the body that is not buffered.
			return nil, o.finalRefusal(c, last)
		}
		o.limitToEnd(c.request)
		entry, ok := o.chooseNode(c)
		if !ok {
			return nil, o.finalRefusal(c, last)
		}
		response, refusal := o.attempt(ctx, c, entry)
		if refusal == nil {
			if refusal = o.discardForRetry(ctx, c, response); refusal == nil {
				return response, nil
			}
			last = refusal
			continue
		}
		last = refusal
		c.recordRefusal(refusal)
		switch {
		case refusal.cancelled || (c.mayHaveRun && !c.request.idempotent):
			return nil, refusal
		case refusal.code == result.Quarantined:
			return nil, o.finalRefusal(c, refusal)
		case refusal.maybeDelivered:
			if !o.takeRetry(ctx, c) {
				return nil, o.finalRefusal(c, refusal)
			}
		default:
			o.metrics.refusedByNode.Inc(1)
			if refusals++; refusals >= o.config.MaxRefusals || ctx.Err() != nil {
				return nil, o.finalRefusal(c, refusal)
			}
		}
	}
}

// discardForRetry discards a failure response if the request may be retried at
// another server, and takes the retry from the budget. It returns nil when the
// response goes to the caller.
func (o *outbound) discardForRetry(ctx context.Context, c *call, response *serverResponse) *refusalReason {
	if !o.isRetryable(c, response) {
		return nil
	}
	refusal := &refusalReason{code: result.OutcomeUnknown, message: "the server responded with status " + strconv.Itoa(response.status), maybeDelivered: true}
	c.recordRefusal(refusal)
	if !o.takeRetry(ctx, c) {
		return nil
	}
	response.finish(false)
	return refusal
}

// isRetryable reports whether a response to an idempotent request is a failure that
// another server might not return.
func (o *outbound) isRetryable(c *call, response *serverResponse) bool {
	return c.request.idempotent && response.status >= http.StatusInternalServerError && response.status != http.StatusGatewayTimeout
}

// takeRetry reports whether a request that may have reached a server may be sent to
// another one, and takes the retry from the budget.
func (o *outbound) takeRetry(ctx context.Context, c *call) bool {
	if c.deliveries >= c.route.MaxAttempts || ctx.Err() != nil || !c.request.body.CanSend() {
		return false
	}
	now := o.deps.Now()
	if c.request.deadline.Sub(now) < o.deps.Balancer.ExpectedServiceTime(c.request.route) {
		return false
	}
	nodes := max(1, o.deps.View().Len())
	if !c.retryBudget.TakeRetry(now, o.config.BudgetSlack*slackShare/float64(nodes)) {
		o.metrics.retriesDenied.Inc(1)
		return false
	}
	o.metrics.retried.Inc(1)
	return true
}

// slackShare is the part of the fleet's retry slack that the nodes divide. The rest
// covers retries of the calls that a retried request makes.
const slackShare = 0.5

// finalRefusal returns the refusal for the caller when no further attempt is allowed.
func (o *outbound) finalRefusal(c *call, last *refusalReason) *refusalReason {
	if last == nil {
		return newRefusal(result.NoServer, "no server of service "+c.request.service+" is ready")
	}
	if c.mayHaveRun && last.notRun() {
		return newRefusal(result.OutcomeUnknown, "an earlier attempt may have run; then: "+last.message)
	}
	return last
}

// chooseNode returns the node of the next attempt; false when there is none left.
func (o *outbound) chooseNode(c *call) (fleet.Entry, bool) {
	now := o.deps.Now()
	candidates := o.deps.View().Candidates(c.request.service)
	for {
		choice, ok := o.deps.Balancer.Choose(now, candidates, balance.Request{
			Route:     c.request.route,
			Remaining: c.request.due.Sub(now),
			Objective: c.route.Objective,
			Excluded:  c.excluded,
			Random:    o.deps.Random,
		})
		if !ok {
			return fleet.Entry{}, false
		}
		c.excluded = append(c.excluded, choice.Entry.Node)
		// The entry of a server that leaves may be out of date while the store is away.
		if o.leaving.contains(choice.Entry.Server) {
			o.deps.Balancer.Done(now, choice.Entry.Node, c.request.route, nil, 0)
			continue
		}
		c.choice = choice
		c.request.maxWait = o.maxQueueWait(c, now)
		return choice.Entry, true
	}
}

// maxQueueWait returns the predicted wait above which the inbound proxy refuses the
// request instead of queueing it. Up to it, the request still meets its objective. A
// request that can't is marked late, which puts it behind those that can. It is
// refused when its predicted wait exceeds a share of the objective or the time left
// until the deadline, so that it doesn't wait long in vain.
func (o *outbound) maxQueueWait(c *call, now time.Time) time.Duration {
	expected := o.deps.Balancer.ExpectedServiceTime(c.request.route) + c.choice.RTT
	if left := c.request.due.Sub(now) - expected; left > 0 {
		return left
	}
	c.request.late = true
	return max(min(c.request.deadline.Sub(now)-expected, c.route.Objective/lateWaitDivisor), 0)
}

// lateWaitDivisor is the ratio of a late request's objective to its longest predicted
// wait.
const lateWaitDivisor = 2

// attempt sends the request to the inbound proxy of a node and reports the outcome to
// the balancer.
func (o *outbound) attempt(ctx context.Context, c *call, entry fleet.Entry) (*serverResponse, *refusalReason) {
	c.attempts++
	sentAt := o.deps.Now()
	var response *serverResponse
	var refusal *refusalReason
	var report *balance.Report
	if entry.Node == o.config.Node {
		var localReport balance.Report
		response, refusal, localReport = o.inbound.run(ctx, c.request)
		report = &localReport
	} else {
		response, refusal, report = o.sendToNode(ctx, c, entry)
	}
	now := o.deps.Now()
	if refusal != nil {
		o.reportRefusal(now, entry, refusal)
	}
	o.deps.Balancer.Done(now, entry.Node, c.request.route, report, now.Sub(sentAt))
	if refusal != nil {
		return nil, refusal
	}
	if response.header.Get(o.deps.Headers.ServerLeaving) == leavingValue {
		o.leaving.add(now, entry.Server)
	}
	limit := ingress.BufferLimit(ctx, o.config.MaxBufferedBytes)
	buffered, refusal := bufferResponse(response, limit, o.inbound.buffers)
	if refusal == nil && !buffered.buffered && (buffered.length < 0 || buffered.length > int64(limit)) {
		o.streamed.add(c.request.route)
	}
	if refusal == nil && entry.Node != o.config.Node {
		readAt := o.deps.Now()
		o.deps.Balancer.ObserveTransfer(readAt, entry.Node, buffered.length, readAt.Sub(now))
	}
	return buffered, refusal
}

// reportRefusal tells the balancer about a node that is unreachable or has no server.
func (o *outbound) reportRefusal(now time.Time, entry fleet.Entry, refusal *refusalReason) {
	switch {
	case refusal.unreachable:
		o.deps.Balancer.MarkUnreachable(now, entry.Node)
		o.deps.Suspect(entry)
	case refusal.code == result.Draining || refusal.code == result.ServerGone:
		o.deps.Balancer.MarkNoServer(now, entry.Node)
	}
}
