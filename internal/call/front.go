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

// front takes calls from callers and sends them to gates.
type front struct {
	config  Config
	deps    Deps
	metrics *metrics
	client  *exchange.Client
	gate    *gate
}

// fronted is one caller's call with the configuration and view that it uses from
// start to end.
type fronted struct {
	request  *request
	target   *config.Target
	snapshot *config.Snapshot
	view     *member.View
	started  time.Time
	// excluded holds the nodes that were tried.
	excluded []string
	// unknown is set once an attempt may have run.
	unknown bool
}

// targetName returns the name of the target, or nothing when none matched.
func (c *fronted) targetName() string {
	if c == nil || c.target == nil {
		return ""
	}
	return c.target.Name
}

// serve answers one call.
func (f *front) serve(w http.ResponseWriter, r *http.Request, id string) {
	call, refused := f.accept(w, r, id)
	if refused != nil {
		f.refuse(w, id, call.targetName(), refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.request.deadline.Add(f.config.AnswerGrace))
	defer cancel()
	found, refused := f.run(ctx, call)
	if refused != nil {
		call.request.body.Release()
		f.count(call, refused.code, refused.cancelled, false)
		f.refuse(w, id, call.target.Name, refused)
		return
	}
	whole, written := f.stream(w, call, found)
	call.request.body.Release()
	f.count(call, result.OK, !written, whole && found.status < http.StatusInternalServerError)
	if !whole {
		f.metrics.broken.Inc(1)
		panic(http.ErrAbortHandler)
	}
	f.metrics.answered.Inc(1)
}

// stream sends the answer to the caller.
func (f *front) stream(w http.ResponseWriter, call *fronted, found *answer) (whole, written bool) {
	found.copyHeader(w.Header())
	w.Header()[HeaderCallID] = []string{call.request.id}
	w.Header()[HeaderRun] = []string{string(result.Ran)}
	return send(w, found, call.request.deadline.Add(f.config.AnswerGrace))
}

// count records the outcome of a call of a target. A call that its caller gave
// up says nothing about the target.
func (f *front) count(call *fronted, code result.Code, cancelled, success bool) {
	switch {
	case cancelled:
		f.metrics.cancelled.Inc(1)
	case code == result.KeyReused || code == result.RepeatUnknown:
		// The caller repeated a key; the target did what it promises.
	default:
		f.deps.Burn.Record(call.target.Name, f.deps.Now().Sub(call.started), success)
	}
}

// refuse sends a refusal and records it for explain. The target is empty when
// none is known.
func (f *front) refuse(w http.ResponseWriter, id, target string, refused *refusal) {
	f.metrics.countRefusal(refused.code)
	f.deps.Events.Record(event.Event{Kind: event.KindRefusal, Subject: id, Target: target, Message: refused.message, Code: refused.code})
	refused.claimedBy = ""
	refused.write(w, id)
}

// run makes attempts until one is answered or no other may follow.
func (f *front) run(ctx context.Context, call *fronted) (*answer, *refusal) {
	f.deps.Policy.RecordFirstAttempt()
	var last *refusal
	for attempt := 1; ; attempt++ {
		record, ok := f.choose(call)
		if !ok {
			return nil, call.final(last)
		}
		found, refused := f.attempt(ctx, call, record, attempt)
		if refused == nil {
			return found, nil
		}
		if refused.claimedBy != "" {
			return f.repeat(ctx, call, refused)
		}
		last = refused
		call.unknown = call.unknown || refused.run != result.NotRun
		if !f.again(call, attempt, refused) {
			return nil, call.final(refused)
		}
		f.metrics.retried.Inc(1)
		call.excluded = append(call.excluded, record.ID)
	}
}

// choose returns the node whose server gets the next attempt.
func (f *front) choose(call *fronted) (member.Record, bool) {
	return f.deps.Chooser.Choose(call.view, call.snapshot.Stops(), route.Request{
		Target:   call.target,
		Now:      f.deps.Now(),
		Excluded: call.excluded,
		Random:   rand.Uint64(),
	})
}

// attempt sends the call to the gate on the node and tells the chooser what it
// showed.
func (f *front) attempt(ctx context.Context, call *fronted, record member.Record, attempt int) (found *answer, refused *refusal) {
	sent := f.deps.Now()
	if record.ID == call.view.Self.ID {
		local := *call.request
		local.attempt += attempt - 1
		found, refused = f.gate.do(ctx, &local)
	} else {
		found, refused = f.sendToGate(ctx, call, record, attempt)
	}
	now := f.deps.Now()
	f.deps.Chooser.Observe(record.ID, now, outcomeOf(call.request.priority, found, refused, now.Sub(sent)))
	return found, refused
}

func outcomeOf(priority config.Priority, found *answer, refused *refusal, elapsed time.Duration) route.Outcome {
	outcome := route.Outcome{Priority: priority, Elapsed: elapsed}
	if found != nil {
		outcome.Failed = found.status >= http.StatusInternalServerError
		outcome.Load = found.load
		return outcome
	}
	outcome.Load = refused.load
	if refused.cancelled {
		outcome.Elapsed = 0
		return outcome
	}
	switch refused.code {
	case result.ServerGone, result.NodeUnreachable, result.OutcomeUnknown, result.DeadlineUnknown:
		outcome.Failed = true
	default:
		outcome.Refused = true
	}
	return outcome
}

// again reports whether another attempt may follow a failed one.
func (f *front) again(call *fronted, attempt int, refused *refusal) bool {
	remaining := call.request.deadline.Sub(f.deps.Now())
	if refused.cancelled || remaining <= 0 || !call.request.body.CanSend() || !isRetryable(refused.code) {
		return false
	}
	if refused.run != result.NotRun && (call.request.once || call.isNested()) {
		return false
	}
	return f.deps.Policy.AllowRetry(Failure{
		Attempt:    attempt,
		Code:       refused.code,
		Run:        refused.run,
		Idempotent: !call.request.once,
		Nested:     call.isNested(),
		Remaining:  remaining,
	})
}

// isRetryable reports whether another server may answer better.
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
func (c *fronted) isNested() bool { return c.request.attempt > 1 || c.request.depth > 0 }

// final returns the refusal for the caller. When an earlier attempt may have
// run, a later refusal without a run must not hide it.
func (c *fronted) final(last *refusal) *refusal {
	if last == nil {
		return refuse(result.NoServer, "no backend server of service "+c.request.service+" can take the call")
	}
	if c.unknown && last.run == result.NotRun {
		unknown := refuse(result.OutcomeUnknown, "an earlier attempt may have run; the last one was refused: "+last.message)
		unknown.cancelled = last.cancelled
		return unknown
	}
	return last
}

// sendToGate sends an attempt to the gate on another node.
func (f *front) sendToGate(ctx context.Context, call *fronted, record member.Record, attempt int) (*answer, *refusal) {
	r := call.request
	hopValue := string(r.hop(f.deps.Now(), attempt).appendTo(make([]byte, 0, 96)))
	out := &exchange.Request{SkipHeader: isOwn, Method: r.method, URI: r.uri, Host: r.service, Header: r.header, Body: r.body, AddedHeaders: []exchange.HeaderField{{Name: headerHop, Value: hopValue}}}
	e, failed := f.client.Do(ctx, record.CallAddress(), out)
	if failed != nil {
		return nil, refuseGateExchange(ctx, record, failed)
	}
	if code := e.Response.Header.Get(HeaderResult); code != "" {
		refused := readRefusal(e, record, code)
		e.Finish(drainBody(e.Response.Body))
		return nil, refused
	}
	found := answerOf(e.Response)
	found.load = parseLoad(e.Response.Header.Get(HeaderLoad))
	found.finish = e.Finish
	return found, nil
}

// refuseGateExchange states what is known of an attempt whose exchange with the
// gate failed before the head of the answer.
func refuseGateExchange(ctx context.Context, record member.Record, failed *exchange.Error) *refusal {
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case !failed.MaybeDelivered && ctx.Err() != nil:
		refused := refuse(result.DeadlineNotRun, "the deadline passed before node "+record.ID+" was reached")
		refused.cancelled = cancelled
		return refused
	case !failed.MaybeDelivered:
		return refuse(result.NodeUnreachable, fmt.Sprintf("node %s does not answer: %v", record.ID, failed.Cause))
	case ctx.Err() != nil:
		refused := refuse(result.DeadlineUnknown, "the deadline passed while node "+record.ID+" had the call")
		refused.cancelled = cancelled
		return refused
	default:
		return refuse(result.OutcomeUnknown, fmt.Sprintf("the connection to node %s broke: %v", record.ID, failed.Cause))
	}
}

// repeat answers a call whose key was claimed before with the kept answer of the
// claiming node, when there is one.
func (f *front) repeat(ctx context.Context, call *fronted, refused *refusal) (*answer, *refusal) {
	r := call.request
	if refused.claimedBy == call.view.Self.ID {
		if kept := f.gate.kept(ctx, r.service, r.key, refused.fingerprint); kept != nil {
			return kept, nil
		}
		return nil, refused
	}
	record, found := call.view.Node(refused.claimedBy)
	if !found {
		return nil, refused
	}
	out := &exchange.Request{
		SkipHeader: isOwn, Method: http.MethodGet, URI: "/", Host: r.service, Body: &exchange.Body{},
		AddedHeaders: []exchange.HeaderField{{Name: headerKept, Value: strconv.FormatUint(refused.fingerprint, 16)}, {Name: HeaderKey, Value: r.key}},
	}
	e, failed := f.client.Do(ctx, record.CallAddress(), out)
	if failed != nil {
		return nil, refused
	}
	if e.Response.Header.Get(HeaderResult) != "" {
		e.Finish(drainBody(e.Response.Body))
		return nil, refused
	}
	kept := answerOf(e.Response)
	kept.finish = e.Finish
	return kept, nil
}
