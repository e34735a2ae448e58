package proxy

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// maxRefusalBytes bounds the message of a gate's refusal.
const maxRefusalBytes = 4 << 10

// sendToGate sends the request to the gate on another node.
func (f *front) sendToGate(ctx context.Context, c *call, entry fleet.Entry) (*answer, *refusal, *balance.Report) {
	e, failed := f.client.Do(ctx, entry.InboundAddress, f.outgoing(c))
	if failed != nil {
		return nil, f.refuseExchange(ctx, c, entry, failed), nil
	}
	header := e.Response.Header
	f.noteVersion(header.Get(HeaderVersion))
	report, err := parseReport(header.Get(headerReport))
	if err != nil {
		e.Finish(false)
		return nil, &refusal{code: result.OutcomeUnknown, message: "node " + entry.Node + " sent no readable account: " + err.Error(), arrived: true}, nil
	}
	code, err := strconv.Atoi(header.Get(headerOutcome))
	if err != nil {
		e.Finish(false)
		return nil, &refusal{code: result.OutcomeUnknown, message: "node " + entry.Node + " sent no readable outcome", arrived: true}, nil
	}
	if result.Code(code) != result.OK {
		return nil, readRefusal(e, result.Code(code)), &report
	}
	return &answer{
		status: e.Response.StatusCode, header: header, length: e.Response.ContentLength,
		body: e.Response.Body, finish: e.Finish,
	}, nil, &report
}

func (f *front) outgoing(c *call) *exchange.Request {
	j := c.job
	due := max(j.due.Sub(f.deps.Now()), time.Millisecond)
	if j.late {
		due = 0
	}
	h := hop{
		service: j.service, route: j.route, remaining: max(j.deadline.Sub(f.deps.Now()), 0),
		due: due, maxWait: j.maxWait, priority: j.priority, idempotent: j.idempotent,
		sent: sinceBoot(), clock: f.clock,
	}
	return &exchange.Request{
		Method: j.method, URI: j.uri, Host: j.host, Header: j.header, SkipHeader: f.gate.skips, Body: j.body,
		AddedHeaders: []exchange.HeaderField{
			{Name: headerHop, Value: h.String()},
			{Name: f.deps.Headers.CallerService, Value: j.caller},
		},
		AckTimeout: f.config.AckTimeout + c.choice.RTT,
		// A node that stops must not break off what a server may be running.
		KeepWaiting:    f.draining.Load,
		ExpectContinue: true,
	}
}

// refuseExchange states what is known of a request whose exchange with a gate
// failed before the head of the answer.
func (f *front) refuseExchange(ctx context.Context, c *call, entry fleet.Entry, failed *exchange.Error) *refusal {
	where := "node " + entry.Node + ": "
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, message: "the caller gave up", cancelled: true, arrived: failed.MaybeDelivered}
	case !failed.MaybeDelivered && isTimeout(ctx):
		return refuse(result.DeadlineNotRun, where+"the deadline passed before the gate took the request")
	case !failed.MaybeDelivered:
		return &refusal{code: result.NodeUnreachable, message: where + failed.Cause.Error(), unreachable: true}
	case isTimeout(ctx):
		return &refusal{code: result.DeadlineUnknown, message: where + "the deadline passed while the gate held the request", arrived: true}
	default:
		f.client.CloseIdle(entry.InboundAddress)
		return &refusal{code: result.OutcomeUnknown, message: where + "the connection broke: " + failed.Cause.Error(), arrived: true, unreachable: true}
	}
}

// readRefusal decodes the refusal of a gate.
func readRefusal(e *exchange.Exchange, code result.Code) *refusal {
	message, err := io.ReadAll(io.LimitReader(e.Response.Body, maxRefusalBytes))
	refused := &refusal{code: code, message: string(message), arrived: e.Response.Header.Get(headerArrived) != ""}
	// A message that was cut changes nothing about the outcome.
	e.Finish(err == nil && len(message) < maxRefusalBytes)
	return refused
}

// noteVersion reports a peer that holds a newer configuration.
func (f *front) noteVersion(text string) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err == nil && routing.Version(version) > f.deps.Routes.Version() {
		f.deps.NewerVersion(routing.Version(version))
	}
}

// isTimeout reports whether a context ended by its deadline.
func isTimeout(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }
