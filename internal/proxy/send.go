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

// maxRefusalBytes bounds the message of an inbound proxy's refusal.
const maxRefusalBytes = 4 << 10

// sendToNode sends the request to the inbound proxy of another node. The report is nil
// when the node sent no valid one.
func (f *front) sendToGate(ctx context.Context, c *call, entry fleet.Entry) (*answer, *refusal, *balance.Report) {
	e, failed := f.client.Do(ctx, entry.Gate, f.outgoing(c))
	if failed != nil {
		return nil, f.refuseExchange(ctx, c, entry, failed), nil
	}
	header := e.Response.Header
	f.noteVersion(header.Get(HeaderVersion))
	report, err := parseReport(header.Get(headerReport))
	if err != nil {
		e.Finish(false)
		return nil, &refusal{code: result.OutcomeUnknown, message: "node " + entry.Node + " sent an invalid report: " + err.Error(), arrived: true}, nil
	}
	code, err := strconv.Atoi(header.Get(headerOutcome))
	if err != nil {
		e.Finish(false)
		return nil, &refusal{code: result.OutcomeUnknown, message: "node " + entry.Node + " sent an invalid outcome: " + err.Error(), arrived: true}, nil
	}
	if result.Code(code) != result.OK {
		return nil, readRefusal(e, result.Code(code)), &report
	}
	return &answer{
		status: e.Response.StatusCode, header: header, length: e.Response.ContentLength,
		body: e.Response.Body, finish: e.Finish,
	}, nil, &report
}

func (f *front) outgoing(c *call) *exchange.Outgoing {
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
	return &exchange.Outgoing{
		Method: j.method, URI: j.uri, Host: j.host, Header: j.header, Skip: f.gate.skips, Body: j.body,
		Added: []exchange.Field{
			{Name: headerHop, Value: h.String()},
			{Name: f.deps.Headers.CallerService, Value: j.caller},
		},
		AckWithin: f.config.AckTimeout + c.choice.RTT,
		// A node that stops must not abort a request that a server may be running.
		KeepWaiting: f.draining.Load,
		HoldBody:    true,
	}
}

// exchangeRefusal returns the outcome of a request whose exchange with an inbound
// proxy failed before the head of the response.
func (f *front) refuseExchange(ctx context.Context, c *call, entry fleet.Entry, failed *exchange.Error) *refusal {
	where := "node " + entry.Node + ": "
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, message: "the caller cancelled the request", cancelled: true, arrived: failed.Begun}
	case !failed.Begun && isTimeout(ctx):
		return refuse(result.DeadlineNotRun, where+"the deadline passed before the inbound proxy accepted the request")
	case !failed.Begun:
		return &refusal{code: result.NodeUnreachable, message: where + failed.Cause.Error(), unreachable: true}
	case isTimeout(ctx):
		return &refusal{code: result.DeadlineUnknown, message: where + "the deadline passed while the inbound proxy held the request", arrived: true}
	default:
		f.client.DropIdle(entry.Gate)
		return &refusal{code: result.OutcomeUnknown, message: where + "the connection broke: " + failed.Cause.Error(), arrived: true, unreachable: true}
	}
}

// readRefusal decodes the refusal of an inbound proxy.
func readRefusal(e *exchange.Exchange, code result.Code) *refusal {
	message, err := io.ReadAll(io.LimitReader(e.Response.Body, maxRefusalBytes))
	refused := &refusal{code: code, message: string(message), arrived: e.Response.Header.Get(headerArrived) != ""}
	// A truncated message doesn't change the outcome.
	e.Finish(err == nil && len(message) < maxRefusalBytes)
	return refused
}

// reportVersion calls NewerVersion when another node's configuration is newer than
// the local one. Invalid versions are ignored.
func (f *front) noteVersion(text string) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err == nil && routing.Version(version) > f.deps.Routes.Version() {
		f.deps.NewerVersion(routing.Version(version))
	}
}

// isTimeout reports whether the deadline of a context has passed.
func isTimeout(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }
