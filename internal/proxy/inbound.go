package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// inbound is the proxy in front of the local server. It admits requests and forwards
// them to the server.
type inbound struct {
	config       Config
	deps         Deps
	metrics      *metrics
	client       *exchange.Client
	failures     failureRate
	transitDelay *transitDelay
	link         *uplink.Link
	// buffers bounds the buffered bodies of the outbound and the inbound proxy.
	buffers *bufferBudget
	// sending counts the requests that have passed the last check of the server's state
	// and are not yet written to it.
	sending atomic.Int64
	// checkingCrash is set while checkCrash runs.
	checkingCrash atomic.Bool
}

// run admits a request, forwards it and returns the response with its body unread.
// The report is filled in either case. The context ends when the caller cancels.
func (in *inbound) run(ctx context.Context, req *upstreamRequest) (response *serverResponse, refusal *refusalReason, report balance.Report) {
	receivedAt := in.deps.Now()
	in.metrics.inboundRequests.Inc(1)
	var serviceTime time.Duration
	response, refusal, serviceTime = in.admit(ctx, req)
	report = in.report(receivedAt)
	report.ServiceTime = serviceTime
	return response, refusal, report
}

// admit waits for a slot, forwards the request and returns the response and the time
// from forwarding to its head.
func (in *inbound) admit(ctx context.Context, req *upstreamRequest) (*serverResponse, *refusalReason, time.Duration) {
	server := in.deps.Server.Server()
	if refusal := in.checkRunnable(req, server); refusal != nil {
		return nil, refusal, 0
	}
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(in.config.ResponseGrace/2))
	release, err := in.deps.Slots.Acquire(ctx, slots.Request{Route: req.route, Workspace: req.workspace, Priority: req.priority, Late: req.late, Due: req.due, Deadline: req.deadline, MaxWait: req.maxWait})
	if err != nil {
		refusal := in.admissionRefusal(ctx, err)
		cancel()
		return nil, refusal, 0
	}
	in.sending.Add(1)
	// The server and the blocklist may have changed while the request waited.
	server = in.deps.Server.Server()
	refusal := in.checkRunnable(req, server)
	if refusal == nil && (ctx.Err() != nil || req.expired(in.deps.Now())) {
		refusal = in.admissionRefusal(ctx, result.Errorf(result.DeadlineNotRun, "the deadline passed before the request was forwarded to the server"))
	}
	if refusal != nil {
		in.sending.Add(-1)
		release(false)
		cancel()
		return nil, refusal, 0
	}
	forwardedAt := in.deps.Now()
	response, refusal := in.forward(ctx, req, server)
	if refusal != nil {
		release(false)
		cancel()
		return nil, refusal, 0
	}
	finish := response.finish
	response.finish = func(complete bool) {
		finish(complete)
		release(complete)
		cancel()
	}
	return response, nil, in.deps.Now().Sub(forwardedAt)
}

// checkServer refuses a request that must not be forwarded to the local server: one
// for another service, or one that is received while the server is not ready.
func (in *inbound) checkServer(req *upstreamRequest, server instance.Server) *refusalReason {
	switch {
	case req.service != server.Service:
		return newRefusal(result.ServerGone, "the server of node "+in.config.Node+" runs service "+server.Service+", not "+req.service)
	case server.State == fleet.Draining:
		return newRefusal(result.Draining, "the server of node "+in.config.Node+" is leaving")
	case server.State != fleet.Ready:
		return newRefusal(result.ServerGone, "the server of node "+in.config.Node+" is not ready")
	default:
		return nil
	}
}

// checkRunnable returns why a request can't run at the server; nil when it can.
func (in *inbound) checkRunnable(req *upstreamRequest, server instance.Server) *refusalReason {
	if refusal := in.checkServer(req, server); refusal != nil {
		return refusal
	}
	if blocks := in.deps.View().Blocklist(); !blocks.Empty() && blocks.Contains(req.content()) {
		return newRefusal(result.Quarantined, "requests with this content have crashed several servers")
	}
	return nil
}

func (in *inbound) admissionRefusal(ctx context.Context, err error) *refusalReason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &refusalReason{code: result.DeadlineNotRun, message: "the caller cancelled the request", cancelled: true}
	}
	return newRefusal(result.CodeOf(err), err.Error())
}

// forward sends the request to the server and reads the head of the response.
func (in *inbound) forward(ctx context.Context, req *upstreamRequest, server instance.Server) (*serverResponse, *refusalReason) {
	out := &exchange.Request{
		Method: req.method, URI: req.uri, Host: req.host, Header: req.header, SkipHeader: in.setsHeader, Body: req.body,
		AddedHeaders: in.serverFields(req, server.ID),
		Matches:      func(response *http.Response, kept bool) bool { return in.isResponseTo(req, response, kept) },
		OnSent:       func() { in.sending.Add(-1) },
		MayResend:    func() bool { return in.mayResend(req, server.ID) },
	}
	e, exchangeErr := in.client.Do(ctx, in.config.Server, out)
	if exchangeErr != nil {
		return nil, in.exchangeRefusal(ctx, req, server.ID, exchangeErr)
	}
	refusal := in.checkResponse(req, e)
	if refusal == nil || refusal.code == result.ServerRefused {
		in.observeServer(server, e.Response.Header)
	}
	if refusal != nil {
		in.failures.add(in.deps.Now(), true)
		e.Finish(false)
		return nil, refusal
	}
	return in.newResponse(ctx, req, server.ID, e), nil
}

// mayResend counts a request as being written once more, unless the server has changed
// or is leaving.
func (in *inbound) mayResend(req *upstreamRequest, server string) bool {
	in.sending.Add(1)
	current := in.deps.Server.Server()
	if current.ID == server && in.checkRunnable(req, current) == nil {
		in.deps.Slots.Charge()
		return true
	}
	in.sending.Add(-1)
	return false
}

// setsHeader reports whether the inbound proxy sets a header itself, so that the one
// of the caller is not forwarded.
func (in *inbound) setsHeader(name string) bool {
	return isInternal(name) || name == in.deps.Headers.DeadlineMs ||
		name == in.deps.Headers.ExpectedServer || name == in.deps.Headers.CallerService
}

func (in *inbound) serverFields(req *upstreamRequest, server string) []exchange.HeaderField {
	remaining := max(req.deadline.Sub(in.deps.Now()).Milliseconds(), 1)
	fields := []exchange.HeaderField{
		{Name: in.deps.Headers.DeadlineMs, Value: strconv.FormatInt(remaining, 10)},
		{Name: in.deps.Headers.CallerService, Value: req.caller},
	}
	if req.workspace != "" {
		fields = append(fields, exchange.HeaderField{Name: in.deps.Headers.Workspace, Value: req.workspace})
	}
	if server != "" {
		fields = append(fields, exchange.HeaderField{Name: in.deps.Headers.ExpectedServer, Value: server})
	}
	return fields
}

// isResponseTo reports whether a response can belong to the request: a server may
// send a late second response to an earlier request, or bytes that belong to none. One
// without an ID on a kept connection can't be told from these. It decides nothing about a
// non-idempotent request, whose own response may follow.
func (in *inbound) isResponseTo(req *upstreamRequest, response *http.Response, kept bool) bool {
	id := response.Header.Get(in.deps.Headers.RequestID)
	if id == "" && kept && !req.idempotent {
		in.metrics.unattributed.Inc(1)
		return false
	}
	return id == "" || id == req.id
}

// checkResponse returns a refusal when the response may belong to no request, doesn't come
// from the expected server, says that the request was not executed, has a status that
// would say so to the caller, is not signed or is encoded.
func (in *inbound) checkResponse(req *upstreamRequest, e *exchange.Exchange) *refusalReason {
	response := e.Response
	header := response.Header
	if e.IsKept() && header.Get(in.deps.Headers.RequestID) == "" {
		// The request may be running.
		in.metrics.unattributed.Inc(1)
		return &refusalReason{code: result.OutcomeUnknown, message: fmt.Sprintf("the response of the server with status %d has no request ID and may belong to no request", response.StatusCode), maybeDelivered: true}
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &refusalReason{code: result.ServerGone, message: "another server listens on " + in.config.Server, maybeDelivered: true}
	}
	if header.Get(in.deps.Headers.NotExecuted) != "" {
		return &refusalReason{code: result.ServerRefused, message: fmt.Sprintf("the server of node %s responded with status %d without running the request", in.config.Node, response.StatusCode), maybeDelivered: true}
	}
	if promisesNotRun(response.StatusCode) {
		in.metrics.failedAsRefusal.Inc(1)
		return &refusalReason{code: result.OutcomeUnknown, message: fmt.Sprintf("the server of node %s responded with status %d without stating that it did not run the request", in.config.Node, response.StatusCode), maybeDelivered: true}
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	signed := header.Get(in.deps.Headers.Signature) != "" && header.Get(in.deps.Headers.RequestID) == req.id
	if header.Get("Content-Encoding") != "" || (success && !signed) {
		in.metrics.invalidResponses.Inc(1)
		return &refusalReason{code: result.OutcomeUnknown, message: fmt.Sprintf("the response of the server with status %d is not signed or is encoded", response.StatusCode), maybeDelivered: true}
	}
	return nil
}

// promisesNotRun reports whether a status tells a caller that its request has not run and
// will not run, so that it may send even a non-idempotent one again. Beside 421, a server
// says so only with the header NotExecuted; its own failures have these statuses too.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func (in *inbound) newResponse(ctx context.Context, req *upstreamRequest, server string, e *exchange.Exchange) *serverResponse {
	response := e.Response
	failed := response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
	unsized := response.ContentLength < 0
	var body io.Reader = response.Body
	if unsized {
		body = &cappedReader{reader: body, left: in.config.MaxUnsizedBytes}
	}
	return &serverResponse{
		status: response.StatusCode,
		header: response.Header,
		length: response.ContentLength,
		body:   body,
		finish: func(complete bool) {
			// A late copy of a response without an ID can't be told from the response to the
			// next request, so its connection is not used again.
			e.Finish(complete && response.Header.Get(in.deps.Headers.RequestID) != "")
			// A body of unknown length that is not complete in time may have no end.
			overdue := unsized && errors.Is(ctx.Err(), context.DeadlineExceeded)
			if complete || ctx.Err() == nil || overdue {
				in.failures.add(in.deps.Now(), failed || !complete)
			}
			if complete || ctx.Err() == nil {
				in.recordContent(req, server, complete)
			} else {
				in.recordAbandoned(req, server)
			}
		},
	}
}

// exchangeRefusal returns the outcome of a request whose exchange with the server
// failed before the head of the response was read.
func (in *inbound) exchangeRefusal(ctx context.Context, req *upstreamRequest, server string, exchangeErr *exchange.Error) *refusalReason {
	if ctx.Err() != nil && exchangeErr.MaybeDelivered {
		in.recordAbandoned(req, server)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusalReason{code: result.OutcomeUnknown, message: "the caller cancelled the request", cancelled: true, maybeDelivered: exchangeErr.MaybeDelivered}
	case !exchangeErr.MaybeDelivered && ctx.Err() != nil:
		return newRefusal(result.DeadlineNotRun, "the deadline passed before the server accepted the connection")
	case exchangeErr.Closed:
		return newRefusal(result.ServerGone, "the server of node "+in.config.Node+" closed the idle connection: "+exchangeErr.Cause.Error())
	case !exchangeErr.MaybeDelivered:
		in.deps.ServerLost(server)
		return newRefusal(result.ServerGone, "the server of node "+in.config.Node+" takes no connection: "+exchangeErr.Cause.Error())
	case ctx.Err() != nil:
		in.failures.add(in.deps.Now(), true)
		return &refusalReason{code: result.DeadlineUnknown, message: "the deadline passed while the server was running the request", maybeDelivered: true}
	default:
		in.failures.add(in.deps.Now(), true)
		in.metrics.broken.Inc(1)
		in.recordContent(req, server, false)
		if errors.Is(exchangeErr.Cause, syscall.ECONNRESET) {
			in.client.CloseIdle(in.config.Server)
		}
		return &refusalReason{code: result.OutcomeUnknown, message: "the connection to the server broke: " + exchangeErr.Cause.Error(), maybeDelivered: true}
	}
}

// report returns the load of the server, for the response to a request that was
// received at the given time.
func (in *inbound) report(receivedAt time.Time) balance.Report {
	now := in.deps.Now()
	load := in.deps.Slots.Load()
	return balance.Report{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, HoldTime: load.HoldTime, Limit: load.Limit,
		FailureRate: in.failures.value(now), TotalTime: now.Sub(receivedAt),
	}
}
