package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
	"rosemaryladder.dev/rosemaryladder/internal/uplink"
)

// inbound is the proxy in front of the local server. It admits requests and forwards
// them to the server.
type gate struct {
	config   Config
	deps     Deps
	metrics  *metrics
	client   *exchange.Client
	failures failureRate
	late     *lateness
	link     *uplink.Link
}

// run admits a request, forwards it and returns the response with its body unread.
// The report is filled in either case. The context ends when the caller cancels.
func (g *gate) run(ctx context.Context, j *job) (found *answer, refused *refusal, report balance.Report) {
	arrived := g.deps.Now()
	g.metrics.gated.Inc(1)
	var ran time.Duration
	found, refused, ran = g.admit(ctx, j)
	report = g.report(arrived)
	report.Ran = ran
	return found, refused, report
}

func (g *gate) admit(ctx context.Context, j *job) (*answer, *refusal, time.Duration) {
	server := g.deps.Server.Server()
	if refused := g.check(j, server.State); refused != nil {
		return nil, refused, 0
	}
	if blocks := g.deps.View().Blocks(); !blocks.Empty() && blocks.Refuses(j.content()) {
		return nil, refuse(result.Quarantined, "requests with this content have crashed several servers"), 0
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline.Add(g.config.ResponseGrace/2))
	release, err := g.deps.Slots.Acquire(ctx, slots.Request{Route: j.route, Priority: j.priority, Late: j.late, Due: j.due, Deadline: j.deadline, MaxWait: j.maxWait})
	if err != nil {
		refused := g.refuseAdmission(ctx, err)
		cancel()
		return nil, refused, 0
	}
	// The server may have changed while the request waited.
	server = g.deps.Server.Server()
	refused := g.check(j, server.State)
	if refused == nil && (ctx.Err() != nil || j.expired(g.deps.Now())) {
		refused = g.refuseAdmission(ctx, result.Errorf(result.DeadlineNotRun, "the deadline passed before the request was forwarded to the server"))
	}
	if refused != nil {
		release(false)
		cancel()
		return nil, refused, 0
	}
	handedOver := g.deps.Now()
	found, refused := g.handOver(ctx, j, server.ID)
	if refused != nil {
		release(false)
		cancel()
		return nil, refused, 0
	}
	finish := found.finish
	found.finish = func(whole bool) {
		finish(whole)
		release(whole)
		cancel()
	}
	return found, nil, g.deps.Now().Sub(handedOver)
}

// checkServer refuses a request that must not be forwarded to the local server: one
// for another service, or one that comes while the server is not ready.
func (g *gate) check(j *job, state fleet.State) *refusal {
	switch {
	case j.service != g.config.Service:
		return refuse(result.ServerGone, "the server of node "+g.config.Node+" runs service "+g.config.Service+", not "+j.service)
	case state == fleet.Draining:
		return refuse(result.Draining, "the server of node "+g.config.Node+" is leaving")
	case state != fleet.Ready:
		return refuse(result.ServerGone, "the server of node "+g.config.Node+" is not ready")
	default:
		return nil
	}
}

func (g *gate) refuseAdmission(ctx context.Context, err error) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &refusal{code: result.DeadlineNotRun, message: "the caller cancelled the request", cancelled: true}
	}
	return refuse(result.CodeOf(err), err.Error())
}

// forward sends the request to the server and reads the head of the response.
func (g *gate) handOver(ctx context.Context, j *job, server string) (*answer, *refusal) {
	out := &exchange.Outgoing{
		Method: j.method, URI: j.uri, Host: j.host, Header: j.header, Skip: g.skips, Body: j.body,
		Added: g.serverFields(j, server),
		Owns:  func(response *http.Response) bool { return g.owns(j, response) },
	}
	e, failed := g.client.Do(ctx, g.config.Server, out)
	if failed != nil {
		return nil, g.refuseExchange(ctx, j, server, failed)
	}
	if refused := g.checkAnswer(j, e); refused != nil {
		g.failures.add(g.deps.Now(), true)
		e.Finish(false)
		return nil, refused
	}
	return g.accept(ctx, j, e), nil
}

// setsHeader reports whether the inbound proxy sets a header itself, so that the one
// of the caller is not forwarded.
func (g *gate) skips(name string) bool {
	return isInternal(name) || name == g.deps.Headers.DeadlineMs ||
		name == g.deps.Headers.ExpectedServer || name == g.deps.Headers.CallerService
}

func (g *gate) serverFields(j *job, server string) []exchange.Field {
	remaining := max(j.deadline.Sub(g.deps.Now()).Milliseconds(), 1)
	fields := []exchange.Field{
		{Name: g.deps.Headers.DeadlineMs, Value: strconv.FormatInt(remaining, 10)},
		{Name: g.deps.Headers.CallerService, Value: j.caller},
	}
	if server != "" {
		fields = append(fields, exchange.Field{Name: g.deps.Headers.ExpectedServer, Value: server})
	}
	return fields
}

// isResponseTo reports whether a response can belong to the request: a server may
// send a late second response to an earlier request.
func (g *gate) owns(j *job, response *http.Response) bool {
	id := response.Header.Get(g.deps.Headers.RequestID)
	return id == "" || id == j.id
}

// checkResponse returns a refusal when the response doesn't come from the expected
// server, says that the request was not executed, is not signed or is encoded.
func (g *gate) checkAnswer(j *job, e *exchange.Exchange) *refusal {
	response := e.Response
	header := response.Header
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &refusal{code: result.ServerGone, message: "another server listens on " + g.config.Server, arrived: true}
	}
	if header.Get(g.deps.Headers.NotExecuted) != "" {
		return &refusal{code: result.ServerRefused, message: fmt.Sprintf("the server of node %s responded with status %d without running the request", g.config.Node, response.StatusCode), arrived: true}
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	signed := header.Get(g.deps.Headers.Signature) != "" && header.Get(g.deps.Headers.RequestID) == j.id
	if header.Get("Content-Encoding") != "" || (success && !signed) {
		g.metrics.spoiled.Inc(1)
		return &refusal{code: result.OutcomeUnknown, message: fmt.Sprintf("the answer %d of the server is not signed or is encoded", response.StatusCode), arrived: true}
	}
	return nil
}

func (g *gate) accept(ctx context.Context, j *job, e *exchange.Exchange) *answer {
	response := e.Response
	failed := response.StatusCode >= http.StatusInternalServerError && response.StatusCode != http.StatusGatewayTimeout
	return &answer{
		status: response.StatusCode,
		header: response.Header,
		length: response.ContentLength,
		body:   response.Body,
		finish: func(whole bool) {
			e.Finish(whole)
			if whole || ctx.Err() == nil {
				g.failures.add(g.deps.Now(), failed || !whole)
				g.noteContent(j, whole)
			}
		},
	}
}

// recordContent records whether the server completed a request with this content or
// broke the connection, as it does when it crashes.
func (g *gate) noteContent(j *job, whole bool) {
	if !whole {
		g.deps.Crashes.Broke(g.deps.Now(), j.content())
		return
	}
	blocks := g.deps.View().Blocks()
	if blocks.Empty() {
		return
	}
	if content := j.content(); blocks.Suspects(content) && g.deps.Crashes.Served(g.deps.Now(), content) {
		g.deps.CrashesChanged()
	}
}

// exchangeRefusal returns the outcome of a request whose exchange with the server
// failed before the head of the response.
func (g *gate) refuseExchange(ctx context.Context, j *job, server string, failed *exchange.Error) *refusal {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, message: "the caller cancelled the request", cancelled: true, arrived: failed.Begun}
	case !failed.Begun && ctx.Err() != nil:
		return refuse(result.DeadlineNotRun, "the deadline passed before the server accepted the connection")
	case !failed.Begun:
		g.deps.ServerLost(server)
		return refuse(result.ServerGone, "the server of node "+g.config.Node+" takes no connection: "+failed.Cause.Error())
	case ctx.Err() != nil:
		g.failures.add(g.deps.Now(), true)
		return &refusal{code: result.DeadlineUnknown, message: "the deadline passed while the server was running the request", arrived: true}
	default:
		g.failures.add(g.deps.Now(), true)
		g.metrics.broken.Inc(1)
		g.noteContent(j, false)
		if errors.Is(failed.Cause, syscall.ECONNRESET) {
			g.client.DropIdle(g.config.Server)
		}
		return &refusal{code: result.OutcomeUnknown, message: "the connection to the server broke: " + failed.Cause.Error(), arrived: true}
	}
}

// report returns the load of the server, for the response to a request that was
// received at the given time.
func (g *gate) report(arrived time.Time) balance.Report {
	now := g.deps.Now()
	load := g.deps.Slots.Load()
	return balance.Report{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Hold: load.HoldTime,
		Failing: g.failures.load(now), Spent: now.Sub(arrived),
	}
}
