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
	// crashProbeTimeout is how long the caller waits for the check whether the
	// server is absent after its connection broke. The server is on the same
	// host.
	crashProbeTimeout = 80 * time.Millisecond
	// lateCrashTimeout is how long the check continues in the background after
	// that, because a process can take longer to exit on a loaded host.
	lateCrashTimeout = time.Second
)

// maxQueuedPerSlot is the number of queued calls per slot at which keys are no
// longer claimed.
const maxQueuedPerSlot = 4

// inbound is the inbound proxy. It runs calls on the local backend server.
type inbound struct {
	config  Config
	deps    Deps
	metrics *metrics
	client  *exchange.Client
	// completed holds calls that a server completed, so that a crash is not
	// attributed to calls that only ran at the same time.
	completed completedSet
	running   runningKeys
}

// inboundCall is a call in the inbound proxy.
type inboundCall struct {
	request     *request
	fingerprint uint64
	release     func()
	// claimed is set once the key was claimed. Then end must be called after
	// the response was retained or the call failed.
	claimed *claim.Claim
	end     func()
}

// do admits a call, forwards it and returns the response with its body still to
// be read. The context ends when the caller cancels the call.
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

// admit performs all checks of a call and forwards it.
func (in *inbound) admit(ctx context.Context, r *request) (*response, *refusal) {
	if refusal := in.checkServer(r); refusal != nil {
		return nil, refusal
	}
	call := &inboundCall{request: r, fingerprint: r.body.Fingerprint(r.method, r.uri)}
	if in.deps.Quarantine.IsBlocked(call.request.service, call.fingerprint) {
		return nil, refuse(result.Quarantined, fmt.Sprintf("calls with fingerprint %x crashed several backend servers of service %s", call.fingerprint, r.service))
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

// claimUnlessQueueFull claims the key unless the queue is full. The claim
// precedes the slot, because a slot held during the write to the store would
// serve no call. The check of the queue avoids writing claims for calls that
// would be shed.
func (in *inbound) claimUnlessQueueFull(ctx context.Context, call *inboundCall) *refusal {
	if _, slots, queued := in.deps.Admission.Load(); queued >= maxQueuedPerSlot*max(slots, 1) {
		return refuse(result.Overloaded, "the admission queue of node "+in.deps.View().Self.ID+" is full")
	}
	return in.claim(ctx, call)
}

// acquireAndForward waits for a slot and forwards the call, which holds the
// slot until its response is finished.
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
		// The slot is released first because the check of the server takes up
		// to crashProbeTimeout.
		release()
		if refusal.broken {
			in.checkCrash(call, address)
		}
	}
	return resp, refusal
}

// checkServer refuses a call that the local backend server must not receive.
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

// refuseAdmission converts an error of the admission control to a refusal.
func (in *inbound) refuseAdmission(ctx context.Context, err error) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &refusal{code: result.DeadlineNotRun, run: result.NotRun, message: "the caller cancelled the call", cancelled: true}
	}
	fallback := result.Overloaded
	if ctx.Err() != nil {
		fallback = result.DeadlineNotRun
	}
	return refuseError(err, fallback)
}

// forward sends the call to the server and reads the response head.
func (in *inbound) forward(ctx context.Context, call *inboundCall, address string) (*response, *refusal) {
	r := call.request
	if ctx.Err() != nil {
		return nil, in.refuseAdmission(ctx, ctx.Err())
	}
	if r.atMostOnce {
		ctx = detach(ctx, call)
	}
	outRequest := &exchange.Request{SkipHeader: isMeshHeader, Method: r.method, URI: r.uri, Host: r.service, Header: r.header, Body: r.body, AddedHeaders: in.serverHeaders(r)}
	in.deps.Server.Begin()
	e, exchangeErr := in.client.Do(ctx, address, outRequest)
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

// serverHeaders returns the headers that describe the call to the server.
func (in *inbound) serverHeaders(r *request) []exchange.HeaderField {
	remaining := max(r.deadline.Sub(in.deps.Now()).Milliseconds(), 1)
	return []exchange.HeaderField{
		{Name: HeaderCallID, Value: r.id},
		{Name: HeaderDeadline, Value: strconv.FormatInt(remaining, 10)},
		{Name: HeaderAttempt, Value: strconv.Itoa(r.attempt)},
		{Name: HeaderDepth, Value: strconv.Itoa(r.depth)},
	}
}

// handleResponse converts the response head of the server to a response or a
// refusal.
func (in *inbound) handleResponse(ctx context.Context, call *inboundCall, e *exchange.Exchange) (*response, *refusal) {
	httpResponse := e.Response
	if httpResponse.StatusCode == http.StatusServiceUnavailable && httpResponse.Header.Get(HeaderRun) == string(result.NotRun) {
		in.deps.Admission.ServerRefused()
		return nil, refuse(result.ServerRefused, "the backend server beside node "+in.deps.View().Self.ID+" refused the call")
	}
	if !e.IsDelimited() {
		in.metrics.undelimitedResponses.Inc(1)
		return nil, refuse(result.OutcomeUnknown, "the backend server ends its response by closing the connection, so that a complete response cannot be distinguished from a truncated one")
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

// recordEnd records a call with a complete response as completed. After a
// truncated response it checks whether the server crashed, unless the context
// has ended.
func (in *inbound) recordEnd(ctx context.Context, call *inboundCall, address string, complete bool) {
	switch {
	case complete:
		in.completed.add(call.fingerprint)
	case ctx.Err() == nil:
		in.checkCrash(call, address)
	}
}

// refuseExchange returns the refusal for an exchange with the server that
// failed before the response head was received.
func (in *inbound) refuseExchange(ctx context.Context, address string, exchangeErr *exchange.Error) *refusal {
	if !exchangeErr.MaybeDelivered {
		return in.refuseUnsent(ctx, address, exchangeErr.Cause)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, run: result.RunUnknown, message: "the caller cancelled the call", cancelled: true}
	case ctx.Err() != nil:
		return refuse(result.DeadlineUnknown, "the deadline passed while the backend server was running the call")
	case errors.Is(exchangeErr.Cause, exchange.ErrHeadTooLarge):
		in.metrics.limitHead.Inc(1)
		return refuse(result.OutcomeUnknown, "read the response of the backend server: "+exchangeErr.Cause.Error())
	default:
		refusal := refuse(result.OutcomeUnknown, "the connection to the backend server broke: "+exchangeErr.Cause.Error())
		refusal.broken = true
		return refusal
	}
}

// refuseUnsent refuses a call of which nothing was sent to the server.
func (in *inbound) refuseUnsent(ctx context.Context, address string, cause error) *refusal {
	if ctx.Err() != nil {
		return in.refuseAdmission(ctx, ctx.Err())
	}
	if errors.Is(cause, syscall.ECONNREFUSED) {
		in.deps.Server.MarkAbsent(address)
	}
	return refuseError(cause, result.ServerGone)
}

// checkCrash checks whether a server whose connection broke is absent, and if so
// records the call as a possible cause.
func (in *inbound) checkCrash(call *inboundCall, address string) {
	if in.isAbsent(address, crashProbeTimeout) {
		in.recordCrash(call, address)
		return
	}
	go func() {
		if in.isAbsent(address, lateCrashTimeout) {
			in.recordCrash(call, address)
		}
	}()
}

func (in *inbound) isAbsent(address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return in.client.RefusesConnections(ctx, address)
}

// recordCrash records that the server is absent and, unless the call has
// completed before, that the call may be the cause.
func (in *inbound) recordCrash(call *inboundCall, address string) {
	in.deps.Server.MarkAbsent(address)
	if in.completed.has(call.fingerprint) {
		return
	}
	in.metrics.crashedServers.Inc(1)
	in.deps.Quarantine.RecordCrash(call.request.service, call.fingerprint)
}

// load returns the current load of the inbound proxy.
func (in *inbound) load() *route.Load {
	inFlight, slots, queued := in.deps.Admission.Load()
	return &route.Load{InFlight: inFlight, Slots: slots, Queued: queued}
}
