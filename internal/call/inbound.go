package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

const (
	// crashProbeTimeout bounds how long the caller waits until it is known whether a
	// server whose connection broke is gone. The server is on the same host.
	crashProbeTimeout = 80 * time.Millisecond
	// lateCrashTimeout bounds how long the gate looks on after that: on a loaded host
	// a process can take longer to end.
	lateCrashTimeout = time.Second
)

// maxQueuedPerSlot is the length of the queue, in calls per slot, above which no
// key is claimed.
const maxQueuedPerSlot = 4

// inbound runs calls on the backend server beside the node.
type inbound struct {
	config  Config
	deps    Deps
	metrics *metrics
	client  *exchange.Client
	// completed remembers calls that a server completed, so that a crash is not
	// blamed on calls that merely ran at the same time.
	completed completedSet
	running   runningKeys
}

// inboundCall is a call at its gate.
type inboundCall struct {
	request     *request
	fingerprint uint64
	release     func()
	// claimed is set once the claim was won, and then end must be called after the
	// answer was kept or the call failed.
	claimed *claim.Claim
	end     func()
}

// do admits a call, hands it over and returns the head of the answer. The
// context ends when the caller gives up.
func (in *inbound) do(ctx context.Context, r *request) (*response, *refusal) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	resp, refusal := in.admit(ctx, r)
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	finish := resp.finish
	resp.finish = func(complete bool) {
		finish(complete)
		cancel()
	}
	return resp, nil
}

// admit takes a call through every check up to the hand-over.
func (in *inbound) admit(ctx context.Context, r *request) (*response, *refusal) {
	if refusal := in.checkServer(r); refusal != nil {
		return nil, refusal
	}
	call := &inboundCall{request: r, fingerprint: r.body.Fingerprint(r.method, r.uri)}
	if in.deps.Quarantine.IsBlocked(call.request.service, call.fingerprint) {
		return nil, refuse(result.Quarantined, fmt.Sprintf("calls with fingerprint %x stopped several backend servers of service %s", call.fingerprint, r.service))
	}
	if r.atMostOnce {
		if refusal := in.claimUnlessQueueFull(ctx, call); refusal != nil {
			return nil, refusal
		}
	}
	resp, refusal := in.acquireAndForward(ctx, call)
	if refusal != nil {
		refusal = in.releaseClaim(call, refusal)
		if call.end != nil {
			call.end()
		}
		return nil, refusal
	}
	return resp, nil
}

// claimUnlessQueueFull claims the key unless the queue is full. The claim comes before the
// slot, because a slot that is held during the store's write serves no call; the
// look at the queue spares the store the claims of calls that would be shed.
func (in *inbound) claimUnlessQueueFull(ctx context.Context, call *inboundCall) *refusal {
	if _, slots, queued := in.deps.Admission.Load(); queued >= maxQueuedPerSlot*max(slots, 1) {
		return refuse(result.Overloaded, "the queue of node "+in.deps.View().Self.ID+" is full")
	}
	return in.claim(ctx, call)
}

// acquireAndForward waits for a slot, which the call owns until its answer is
// finished.
func (in *inbound) acquireAndForward(ctx context.Context, call *inboundCall) (*response, *refusal) {
	release, err := in.deps.Admission.AcquireWithin(ctx, call.request.priority, call.request.objective)
	if err != nil {
		return nil, in.refuseAdmission(ctx, err)
	}
	call.release = release
	if refusal := in.checkServer(call.request); refusal != nil {
		release()
		return nil, refusal
	}
	address := in.deps.Server.Address()
	resp, refusal := in.forward(ctx, call, address)
	if refusal != nil {
		// The probe takes long enough that it must not hold the slot.
		release()
		if refusal.broken {
			in.checkCrash(call, address)
		}
	}
	return resp, refusal
}

// checkServer refuses a call that the server beside the node must not get.
func (in *inbound) checkServer(r *request) *refusal {
	server := in.deps.Server.Effective()
	switch {
	case server.State == member.ServerLeaving:
		return refuse(result.Draining, "the backend server beside node "+in.deps.View().Self.ID+" is leaving")
	case server.State == member.ServerNone:
		return refuse(result.ServerGone, "node "+in.deps.View().Self.ID+" has no backend server")
	case server.Service != r.service:
		return refuse(result.ServerGone, "the backend server beside node "+in.deps.View().Self.ID+" does not offer service "+r.service)
	default:
		return nil
	}
}

// refuseAdmission turns the error of the admission into a refusal.
func (in *inbound) refuseAdmission(ctx context.Context, err error) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &refusal{code: result.DeadlineNotRun, run: result.NotRun, message: "the caller gave up", cancelled: true}
	}
	fallback := result.Overloaded
	if ctx.Err() != nil {
		fallback = result.DeadlineNotRun
	}
	return refuseError(err, fallback)
}

// forward sends the call to the server and reads the head of the answer.
func (in *inbound) forward(ctx context.Context, call *inboundCall, address string) (*response, *refusal) {
	r := call.request
	if ctx.Err() != nil {
		return nil, in.refuseAdmission(ctx, ctx.Err())
	}
	if r.atMostOnce {
		ctx = detach(ctx, call)
	}
	outgoing := &exchange.Outgoing{Skip: isMeshHeader, Method: r.method, URI: r.uri, Host: r.service, Header: r.header, Body: r.body, Added: in.serverHeaders(r)}
	in.deps.Server.Begin()
	e, exchangeErr := in.client.Do(ctx, address, outgoing)
	if exchangeErr != nil {
		in.deps.Server.Done()
		return nil, in.refuseExchange(ctx, address, exchangeErr)
	}
	resp, refusal := in.handleResponse(ctx, call, e)
	if refusal != nil {
		e.Finish(false)
		in.deps.Server.Done()
	}
	return resp, refusal
}

// serverHeaders returns the headers that tell the server about the call.
func (in *inbound) serverHeaders(r *request) []exchange.Field {
	remaining := max(r.deadline.Sub(in.deps.Now()).Milliseconds(), 1)
	return []exchange.Field{
		{Name: HeaderCallID, Value: r.id},
		{Name: HeaderDeadline, Value: strconv.FormatInt(remaining, 10)},
		{Name: HeaderAttempt, Value: strconv.Itoa(r.attempt)},
		{Name: HeaderDepth, Value: strconv.Itoa(r.depth)},
	}
}

// handleResponse turns the head of the server's answer into an answer or a refusal.
func (in *inbound) handleResponse(ctx context.Context, call *inboundCall, e *exchange.Exchange) (*response, *refusal) {
	httpResponse := e.Response
	if httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(HeaderRun) == string(result.NotRun) {
		in.deps.Admission.ServerRefused()
		return nil, refuse(result.ServerRefused, "the backend server beside node "+in.deps.View().Self.ID+" refused the call")
	}
	if !e.IsDelimited() {
		in.metrics.undelimitedResponses.Inc(1)
		return nil, refuse(result.OutcomeUnknown, "the backend server marks the end of its answer by closing the connection, so that a whole answer cannot be told from a broken one")
	}
	resp := responseFrom(httpResponse)
	resp.load = in.load()
	resp.finish = func(complete bool) {
		e.Finish(complete)
		in.deps.Server.Done()
		call.release()
		in.recordEnd(ctx, call, e.Address(), complete)
	}
	if call.request.atMostOnce {
		in.retainWhenComplete(call, resp)
	}
	return resp, nil
}

// recordEnd learns from the end of an answer which calls crash servers.
func (in *inbound) recordEnd(ctx context.Context, call *inboundCall, address string, complete bool) {
	switch {
	case complete:
		in.completed.add(call.fingerprint)
	case ctx.Err() == nil:
		in.checkCrash(call, address)
	}
}

// refuseExchange states what is known of a call whose exchange with the server
// failed before the head of the answer.
func (in *inbound) refuseExchange(ctx context.Context, address string, exchangeErr *exchange.Error) *refusal {
	if !exchangeErr.Begun {
		return in.refuseUnsent(ctx, address, exchangeErr.Cause)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, run: result.RunUnknown, message: "the caller gave up", cancelled: true}
	case ctx.Err() != nil:
		return refuse(result.DeadlineUnknown, "the deadline passed while the backend server was running the call")
	case errors.Is(exchangeErr.Cause, exchange.ErrHeadTooLarge):
		in.metrics.limitHead.Inc(1)
		return refuse(result.OutcomeUnknown, "the answer of the backend server: "+exchangeErr.Cause.Error())
	default:
		refusal := refuse(result.OutcomeUnknown, "the connection to the backend server broke: "+exchangeErr.Cause.Error())
		refusal.broken = true
		return refusal
	}
}

// refuseUnsent refuses a call of which nothing reached the server.
func (in *inbound) refuseUnsent(ctx context.Context, address string, cause error) *refusal {
	if ctx.Err() != nil {
		return in.refuseAdmission(ctx, ctx.Err())
	}
	if errors.Is(cause, syscall.ECONNREFUSED) {
		in.deps.Server.Gone(address)
	}
	return refuseError(cause, result.ServerGone)
}

// checkCrash tells whether a server whose connection broke is gone, and then counts
// the call as one that may have crashed it.
func (in *inbound) checkCrash(call *inboundCall, address string) {
	if in.isGone(address, crashProbeTimeout) {
		in.recordCrash(call, address)
		return
	}
	go func() {
		if in.isGone(address, lateCrashTimeout) {
			in.recordCrash(call, address)
		}
	}()
}

func (in *inbound) isGone(address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return in.client.Refuses(ctx, address)
}

// recordCrash notes that the server is gone and that the call may be the reason.
func (in *inbound) recordCrash(call *inboundCall, address string) {
	in.deps.Server.Gone(address)
	if in.completed.has(call.fingerprint) {
		return
	}
	in.metrics.crashedServers.Inc(1)
	in.deps.Quarantine.RecordCrash(call.request.service, call.fingerprint)
}

// load returns the load of the gate for the answer.
func (in *inbound) load() *route.Load {
	inFlight, slots, queued := in.deps.Admission.Load()
	return &route.Load{InFlight: inFlight, Slots: slots, Queued: queued}
}
