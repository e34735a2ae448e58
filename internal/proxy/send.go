package proxy

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// maxRefusalBytes bounds the message of an inbound proxy's refusal.
const maxRefusalBytes = 4 << 10

// sendToNode sends the request to the inbound proxy of another node. The report is nil
// when the node sent no valid one.
func (o *outbound) sendToNode(ctx context.Context, c *call, entry fleet.Entry) (*serverResponse, *refusalReason, *balance.Report) {
	e, exchangeErr := o.client.Do(ctx, entry.InboundAddress, o.outgoing(c))
	if exchangeErr != nil {
		return nil, o.exchangeRefusal(ctx, c, entry, exchangeErr), nil
	}
	header := e.Response.Header
	o.reportVersion(header.Get(HeaderVersion))
	report, err := parseReport(header.Get(headerReport))
	if err != nil {
		e.Finish(false)
		return nil, &refusalReason{code: result.OutcomeUnknown, message: "node " + entry.Node + " sent an invalid report: " + err.Error(), maybeDelivered: true}, nil
	}
	code, err := strconv.Atoi(header.Get(headerOutcome))
	if err != nil {
		e.Finish(false)
		return nil, &refusalReason{code: result.OutcomeUnknown, message: "node " + entry.Node + " sent an invalid outcome: " + err.Error(), maybeDelivered: true}, nil
	}
	if result.Code(code) != result.OK {
		return nil, readRefusal(e, result.Code(code)), &report
	}
	return &serverResponse{
		status: e.Response.StatusCode, header: header, length: e.Response.ContentLength,
		body: e.Response.Body, finish: e.Finish,
	}, nil, &report
}

func (o *outbound) outgoing(c *call) *exchange.Request {
	req := c.request
	due := max(req.due.Sub(o.deps.Now()), time.Millisecond)
	if req.late {
		due = 0
	}
	h := hop{
		service: req.service, route: req.route, remaining: max(req.deadline.Sub(o.deps.Now()), 0),
		due: due, maxWait: req.maxWait, priority: req.priority, idempotent: req.idempotent,
		sent: boottime.Now(), clockID: o.clockID, workspace: req.workspace,
	}
	return &exchange.Request{
		Method: req.method, URI: req.uri, Host: req.host, Header: req.header, SkipHeader: o.inbound.setsHeader, Body: req.body,
		AddedHeaders: []exchange.HeaderField{
			{Name: headerHop, Value: h.String()},
			{Name: o.deps.Headers.CallerService, Value: req.caller},
		},
		AckTimeout: o.config.AckTimeout + c.choice.RTT,
		// A node that stops must not abort a request that a server may be running.
		KeepWaiting:    o.isStopping,
		ExpectContinue: true,
	}
}

// exchangeRefusal returns the outcome of a request whose exchange with an inbound
// proxy failed before the head of the response was read.
func (o *outbound) exchangeRefusal(ctx context.Context, c *call, entry fleet.Entry, exchangeErr *exchange.Error) *refusalReason {
	where := "node " + entry.Node + ": "
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusalReason{code: result.OutcomeUnknown, message: "the caller cancelled the request", cancelled: true, maybeDelivered: exchangeErr.MaybeDelivered}
	case !exchangeErr.MaybeDelivered && isTimeout(ctx):
		return newRefusal(result.DeadlineNotRun, where+"the deadline passed before the inbound proxy accepted the request")
	case !exchangeErr.MaybeDelivered:
		return &refusalReason{code: result.NodeUnreachable, message: where + exchangeErr.Cause.Error(), unreachable: true}
	case isTimeout(ctx):
		return &refusalReason{code: result.DeadlineUnknown, message: where + "the deadline passed while the inbound proxy held the request", maybeDelivered: true}
	default:
		o.client.CloseIdle(entry.InboundAddress)
		return &refusalReason{code: result.OutcomeUnknown, message: where + "the connection broke: " + exchangeErr.Cause.Error(), maybeDelivered: true, unreachable: true}
	}
}

// readRefusal decodes the refusal of an inbound proxy.
func readRefusal(e *exchange.Exchange, code result.Code) *refusalReason {
	message, err := io.ReadAll(io.LimitReader(e.Response.Body, maxRefusalBytes))
	refusal := &refusalReason{code: code, message: string(message), maybeDelivered: e.Response.Header.Get(headerArrived) != ""}
	// A truncated message doesn't change the outcome.
	e.Finish(err == nil && len(message) < maxRefusalBytes)
	return refusal
}

// reportVersion calls NewerVersion when another node's configuration is newer than
// the local one. Invalid versions are ignored.
func (o *outbound) reportVersion(text string) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err == nil && routing.Version(version) > o.deps.Routes.Version() {
		o.deps.NewerVersion(routing.Version(version))
	}
}

// isTimeout reports whether the deadline of a context has passed.
func isTimeout(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }
