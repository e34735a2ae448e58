package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// serve handles a request from the outbound proxy of another node.
func (in *inbound) serve(w http.ResponseWriter, r *http.Request) {
	req, refusal := in.acceptHop(w, r)
	if refusal != nil {
		in.refuse(w, refusal, balance.Report{})
		return
	}
	defer in.releaseBody(req)
	receivedAt := in.deps.Now()
	releaseLink, ok := in.link.Reserve(req.route, req.maxWait)
	if !ok {
		refusal := newRefusal(result.Overloaded, fmt.Sprintf("the responses ahead occupy the link of the host for %s", in.link.Backlog().Round(time.Millisecond)))
		report := in.report(receivedAt)
		in.log(req, refusal, report)
		in.refuse(w, refusal, report)
		return
	}
	defer releaseLink()
	ctx := r.Context()
	if !req.body.IsBuffered() {
		var cancel context.CancelFunc
		ctx, cancel = httpserver.WithPeer(ctx)
		defer cancel()
	}
	response, refusal, report := in.run(ctx, req)
	if refusal == nil && in.link.IsLarge(response.length) {
		// A response that waits for the link must not hold a slot of the server.
		response, refusal = bufferResponse(response, in.config.MaxBufferedBytes, in.buffers)
		report.TotalTime = in.deps.Now().Sub(receivedAt)
	}
	in.log(req, refusal, report)
	if refusal != nil {
		in.refuse(w, refusal, report)
		return
	}
	response.copyHeader(w.Header())
	in.setInternalHeaders(w, result.OK, report)
	if response.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(response.length, 10)}
	}
	w.WriteHeader(response.status)
	if response.length > 0 {
		in.link.ObserveSize(req.route, response.length)
	}
	releaseLink()
	complete := transmit(ctx, w, response, in.link, req.deadline.Add(in.config.ResponseGrace))
	response.finish(complete)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// acceptHop reads the request of an outbound proxy. An interim response tells the
// outbound proxy that this node is alive: 102 at once without a body, or 100 when the
// body is read.
func (in *inbound) acceptHop(w http.ResponseWriter, r *http.Request) (*upstreamRequest, *refusalReason) {
	h, err := parseHop(r.Header.Get(headerHop))
	if err != nil {
		return nil, newRefusal(result.BadRequest, err.Error())
	}
	now, receivedAt := in.deps.Now(), boottime.Now()
	excess := in.transitDelay.excess(h.clockID, h.sent, receivedAt)
	if excess > in.config.AckTimeout {
		return nil, newRefusal(result.DeadlineNotRun, fmt.Sprintf("the request was in transit %s longer than others, so its outbound proxy no longer waits for it", excess.Round(time.Millisecond)))
	}
	h.remaining, h.due = max(h.remaining-excess, 0), max(h.due-excess, 0)
	req := &upstreamRequest{
		id: r.Header.Get(in.deps.Headers.RequestID), route: h.route, service: h.service,
		caller: r.Header.Get(in.deps.Headers.CallerService), workspace: h.workspace,
		method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header,
		idempotent: h.idempotent, priority: h.priority, deadline: now.Add(h.remaining), due: now.Add(h.due), late: h.due == 0, maxWait: h.maxWait,
		receivedAt: receivedAt, timeout: h.remaining,
	}
	if refusal := in.checkServer(req, in.deps.Server.Server()); refusal != nil {
		return nil, refusal
	}
	if r.ContentLength == 0 {
		w.WriteHeader(http.StatusProcessing)
		req.body = &exchange.Body{}
		return req, nil
	}
	if err := in.readBody(w, r, req); err != nil {
		return nil, newRefusal(bodyErrorCode(err), "read the request body: "+err.Error())
	}
	return req, nil
}

// refuse sends a refusal to the outbound proxy.
func (in *inbound) refuse(w http.ResponseWriter, refusal *refusalReason, report balance.Report) {
	in.setInternalHeaders(w, refusal.code, report)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(refusal.message)))
	status := http.StatusServiceUnavailable
	if !refusal.notRun() {
		status = http.StatusBadGateway
	}
	if refusal.maybeDelivered {
		w.Header().Set(headerArrived, "1")
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(refusal.message))
}

// setInternalHeaders sets the headers for the outbound proxy.
func (in *inbound) setInternalHeaders(w http.ResponseWriter, code result.Code, report balance.Report) {
	w.Header()[headerOutcome] = []string{strconv.Itoa(int(code))}
	w.Header()[headerReport] = []string{formatReport(report)}
	w.Header()[HeaderVersion] = []string{strconv.FormatUint(uint64(in.deps.Routes.Version()), 10)}
}

// log writes a line for a refused request.
func (in *inbound) log(req *upstreamRequest, refusal *refusalReason, report balance.Report) {
	if refusal == nil || refusal.cancelled {
		return
	}
	server := in.deps.Server.Server()
	in.deps.Log.WithFields(map[string]any{
		"request": req.id, "route": req.route, "priority": req.priority, "late": req.late, "server": server.ID, "state": server.State,
		"running": report.Running, "waiting": report.Waiting, "slots": report.Slots,
		"max_wait_ms": req.maxWait.Milliseconds(), "spent_ms": report.TotalTime.Milliseconds(), "code": int(refusal.code),
	}).Info("inbound: " + refusal.message)
}
