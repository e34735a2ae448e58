package call

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// outbound is the outbound proxy. It accepts calls from callers and sends them
// to inbound proxies.
type outbound struct {
	config  Config
	deps    Deps
	metrics *metrics
	client  *exchange.Client
	inbound *inbound
}

// outboundCall is the call of a caller with the configuration and view that
// apply to it from start to end.
type outboundCall struct {
	request  *request
	target   *config.Target
	snapshot *config.Snapshot
	view     *member.View
	started  time.Time
	// excluded holds the IDs of the nodes that were tried.
	excluded []string
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
}

// targetName returns the name of the target, or "" when none matched.
func (c *outboundCall) targetName() string {
	if c == nil || c.target == nil {
		return ""
	}
	return c.target.Name
}

// serve handles one call of a caller.
func (o *outbound) serve(w http.ResponseWriter, r *http.Request, id string) {
	call, refusal := o.accept(w, r, id)
	if refusal != nil {
		o.refuse(w, id, call.targetName(), refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.request.deadline.Add(o.config.ResponseGrace))
	defer cancel()
	resp, refusal := o.runAttempts(ctx, call)
	if refusal != nil {
		call.request.body.Release()
		o.recordOutcome(call, refusal.code, refusal.cancelled, false)
		o.refuse(w, id, call.target.Name, refusal)
		return
	}
	complete, written := o.stream(w, call, resp)
	call.request.body.Release()
	o.recordOutcome(call, result.OK, !written, complete && resp.status < http.StatusInternalServerError)
	if !complete {
		o.metrics.broken.Inc(1)
		panic(http.ErrAbortHandler)
	}
	o.metrics.responses.Inc(1)
}

// stream sends the response to the caller.
func (o *outbound) stream(w http.ResponseWriter, call *outboundCall, resp *response) (complete, written bool) {
	resp.copyHeader(w.Header())
	w.Header()[HeaderCallID] = []string{call.request.id}
	w.Header()[HeaderRun] = []string{string(result.Ran)}
	return writeResponse(w, resp, call.request.deadline.Add(o.config.ResponseGrace))
}

// recordOutcome records the outcome of a call to a target. A call that its
// caller cancelled does not count against the target.
func (o *outbound) recordOutcome(call *outboundCall, code result.Code, cancelled, success bool) {
	switch {
	case cancelled:
		o.metrics.cancelled.Inc(1)
	case code == result.KeyReused || code == result.RepeatUnknown:
		// Not a failure of the target: the caller repeated an idempotency key.
	default:
		o.deps.Burn.Record(call.target.Name, o.deps.Now().Sub(call.started), success)
	}
}

// refuse sends a refusal and records it as an event for the explain command.
// The target is empty when none matched.
func (o *outbound) refuse(w http.ResponseWriter, id, target string, refusal *refusal) {
	o.metrics.countRefusal(refusal.code)
	o.deps.Events.Record(event.Event{Kind: event.KindRefusal, Subject: id, Target: target, Message: refusal.message, Code: refusal.code})
	refusal.claimedBy = ""
	refusal.write(w, id)
}

// runAttempts makes attempts until one gets a response or no retry is allowed.
func (o *outbound) runAttempts(ctx context.Context, call *outboundCall) (*response, *refusal) {
	o.deps.Policy.RecordFirstAttempt()
	var last *refusal
	for attempt := 1; ; attempt++ {
		record, ok := o.choose(call)
		if !ok {
			return nil, call.finalRefusal(last)
		}
		resp, refusal := o.attempt(ctx, call, record, attempt)
		if refusal == nil {
			return resp, nil
		}
		if refusal.claimedBy != "" {
			return o.replayRetained(ctx, call, refusal)
		}
		last = refusal
		call.mayHaveRun = call.mayHaveRun || refusal.run != result.NotRun
		if !o.shouldRetry(call, attempt, refusal) {
			return nil, call.finalRefusal(refusal)
		}
		o.metrics.retried.Inc(1)
		call.excluded = append(call.excluded, record.ID)
	}
}

// choose returns the node whose backend server gets the next attempt, and false
// when there is none.
func (o *outbound) choose(call *outboundCall) (member.Record, bool) {
	return o.deps.Chooser.Choose(call.view, call.snapshot.Stops(), route.Request{
		Target:   call.target,
		Now:      o.deps.Now(),
		Excluded: call.excluded,
		Random:   rand.Uint64(),
	})
}

// attempt sends the call to the inbound proxy on the node and reports the
// outcome to the chooser.
func (o *outbound) attempt(ctx context.Context, call *outboundCall, record member.Record, attempt int) (resp *response, refusal *refusal) {
	sentAt := o.deps.Now()
	if record.ID == call.view.Self.ID {
		local := *call.request
		local.attempt += attempt - 1
		resp, refusal = o.inbound.do(ctx, &local)
	} else {
		resp, refusal = o.sendToNode(ctx, call, record, attempt)
	}
	now := o.deps.Now()
	o.deps.Chooser.Observe(record.ID, now, outcomeOf(call.request.priority, resp, refusal, now.Sub(sentAt)))
	return resp, refusal
}

func outcomeOf(priority config.Priority, resp *response, refusal *refusal, elapsed time.Duration) route.Outcome {
	outcome := route.Outcome{Priority: priority, Elapsed: elapsed}
	if resp != nil {
		outcome.Failed = resp.status >= http.StatusInternalServerError
		outcome.Load = resp.load
		return outcome
	}
	outcome.Load = refusal.load
	if refusal.cancelled {
		outcome.Elapsed = 0
		return outcome
	}
	switch refusal.code {
	case result.ServerGone, result.NodeUnreachable, result.OutcomeUnknown, result.DeadlineUnknown:
		outcome.Failed = true
	default:
		outcome.Refused = true
	}
	return outcome
}

// shouldRetry reports whether a failed attempt is retried.
func (o *outbound) shouldRetry(call *outboundCall, attempt int, refusal *refusal) bool {
	remaining := call.request.deadline.Sub(o.deps.Now())
	if refusal.cancelled || remaining <= 0 || !call.request.body.CanSend() || !isRetryable(refusal.code) {
		return false
	}
	if refusal.run != result.NotRun && (call.request.atMostOnce || call.isNested()) {
		return false
	}
	return o.deps.Policy.AllowRetry(Failure{
		Attempt:    attempt,
		Code:       refusal.code,
		Run:        refusal.run,
		Idempotent: !call.request.atMostOnce,
		Nested:     call.isNested(),
		Remaining:  remaining,
	})
}

// isRetryable reports whether an attempt on another server may succeed after
// the result code.
func isRetryable(code result.Code) bool {
	switch code {
	case result.NodeUnreachable, result.NodeNotReady, result.NoServer, result.Overloaded, result.Draining,
		result.ServerRefused, result.ServerGone, result.OutcomeUnknown:
		return true
	default:
		return false
	}
}

// isNested reports whether a layer above retries the call itself.
func (c *outboundCall) isNested() bool { return c.request.attempt > 1 || c.request.depth > 0 }

// finalRefusal returns the refusal for the caller. A not-run refusal of the
// last attempt must not hide that an earlier attempt may have run.
func (c *outboundCall) finalRefusal(last *refusal) *refusal {
	if last == nil {
		return refuse(result.NoServer, "no backend server of service "+c.request.service+" can take the call")
	}
	if c.mayHaveRun && last.run == result.NotRun {
		unknown := refuse(result.OutcomeUnknown, "an earlier attempt may have run; the last one was refused: "+last.message)
		unknown.cancelled = last.cancelled
		return unknown
	}
	return last
}

// sendToNode sends an attempt to the inbound proxy on another node.
func (o *outbound) sendToNode(ctx context.Context, call *outboundCall, record member.Record, attempt int) (*response, *refusal) {
	r := call.request
	hopValue := string(r.hop(o.deps.Now(), attempt).appendTo(make([]byte, 0, 96)))
	outRequest := &exchange.Request{SkipHeader: isMeshHeader, Method: r.method, URI: r.uri, Host: r.service, Header: r.header, Body: r.body, AddedHeaders: []exchange.HeaderField{{Name: headerHop, Value: hopValue}}}
	e, exchangeErr := o.client.Do(ctx, record.CallAddress(), outRequest)
	if exchangeErr != nil {
		return nil, refuseNodeExchange(ctx, record, exchangeErr)
	}
	if code := e.Response.Header.Get(HeaderResult); code != "" {
		refusal := readRefusal(e, record, code)
		e.Finish(drainBody(e.Response.Body))
		return nil, refusal
	}
	resp := responseFrom(e.Response)
	resp.load = parseLoad(e.Response.Header.Get(HeaderLoad))
	resp.finish = e.Finish
	return resp, nil
}

// refuseNodeExchange returns the refusal for an exchange with an inbound proxy
// that failed before the response head was received.
func refuseNodeExchange(ctx context.Context, record member.Record, exchangeErr *exchange.Error) *refusal {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !exchangeErr.MaybeDelivered && ctx.Err() != nil:
		refusal := refuse(result.DeadlineNotRun, "the deadline passed before node "+record.ID+" was reached")
		refusal.cancelled = cancelled
		return refusal
	case !exchangeErr.MaybeDelivered:
		return refuse(result.NodeUnreachable, fmt.Sprintf("node %s is unreachable: %v", record.ID, exchangeErr.Cause))
	case ctx.Err() != nil:
		refusal := refuse(result.DeadlineUnknown, "the deadline passed before node "+record.ID+" responded to the call")
		refusal.cancelled = cancelled
		return refusal
	default:
		return refuse(result.OutcomeUnknown, fmt.Sprintf("the connection to node %s broke: %v", record.ID, exchangeErr.Cause))
	}
}

// replayRetained returns the response that the node with the claim retained,
// for a call whose key was claimed before. Without such a response it returns
// the given refusal.
func (o *outbound) replayRetained(ctx context.Context, call *outboundCall, refusal *refusal) (*response, *refusal) {
	r := call.request
	if refusal.claimedBy == call.view.Self.ID {
		if resp := o.inbound.retainedResponse(ctx, r.service, r.key, refusal.fingerprint); resp != nil {
			return resp, nil
		}
		return nil, refusal
	}
	record, found := call.view.Node(refusal.claimedBy)
	if !found {
		return nil, refusal
	}
	outRequest := &exchange.Request{
		SkipHeader: isMeshHeader, Method: http.MethodGet, URI: "/", Host: r.service, Body: &exchange.Body{},
		AddedHeaders: []exchange.HeaderField{{Name: headerKept, Value: strconv.FormatUint(refusal.fingerprint, 16)}, {Name: HeaderKey, Value: r.key}},
	}
	e, exchangeErr := o.client.Do(ctx, record.CallAddress(), outRequest)
	if exchangeErr != nil {
		return nil, refusal
	}
	if e.Response.Header.Get(HeaderResult) != "" {
		e.Finish(drainBody(e.Response.Body))
		return nil, refusal
	}
	resp := responseFrom(e.Response)
	resp.finish = e.Finish
	return resp, nil
}
