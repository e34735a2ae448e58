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

// gate runs requests on the server beside the node.
type gate struct {
	config   Config
	deps     Deps
	metrics  *metrics
	client   *exchange.Client
	failures failureRate
	late     *lateness
	link     *uplink.Link
}

// run admits a request, hands it over and returns the head of the answer. The
// report is filled in either case. The context ends when the caller gives up.
func (g *gate) run(ctx context.Context, j *job) (found *answer, refused *refusal, report balance.Report) {
	arrived := g.deps.Now()
	g.metrics.gated.Inc(1)
	var ran time.Duration
	found, refused, ran = g.admit(ctx, j)
	report = g.report(arrived)
	report.ServiceTime = ran
	return found, refused, report
}

func (g *gate) admit(ctx context.Context, j *job) (*answer, *refusal, time.Duration) {
	server := g.deps.Server.Server()
	if refused := g.check(j, server.State); refused != nil {
		return nil, refused, 0
	}
	if blocks := g.deps.View().Blocklist(); !blocks.Empty() && blocks.Contains(j.content()) {
		return nil, refuse(result.Quarantined, "requests of this content have ended several servers"), 0
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
		refused = g.refuseAdmission(ctx, result.Errorf(result.DeadlineNotRun, "the deadline passed before the hand-over"))
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

// check refuses a request that the server beside the node must not get.
func (g *gate) check(j *job, state fleet.State) *refusal {
	switch {
	case j.service != g.config.Service:
		return refuse(result.ServerGone, "the server beside node "+g.config.Node+" does not offer service "+j.service)
	case state == fleet.Draining:
		return refuse(result.Draining, "the server beside node "+g.config.Node+" is leaving")
	case state != fleet.Ready:
		return refuse(result.ServerGone, "node "+g.config.Node+" has no server that takes requests")
	default:
		return nil
	}
}

func (g *gate) refuseAdmission(ctx context.Context, err error) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &refusal{code: result.DeadlineNotRun, message: "the caller gave up", cancelled: true}
	}
	return refuse(result.CodeOf(err), err.Error())
}

// handOver sends the request to the server and reads the head of the answer.
func (g *gate) handOver(ctx context.Context, j *job, server string) (*answer, *refusal) {
	out := &exchange.Request{
		Method: j.method, URI: j.uri, Host: j.host, Header: j.header, SkipHeader: g.skips, Body: j.body,
		AddedHeaders: g.serverFields(j, server),
		Matches:      func(response *http.Response) bool { return g.owns(j, response) },
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

// skips reports the headers that the gate itself sets.
func (g *gate) skips(name string) bool {
	return isInternal(name) || name == g.deps.Headers.DeadlineMs ||
		name == g.deps.Headers.ExpectedServer || name == g.deps.Headers.CallerService
}

func (g *gate) serverFields(j *job, server string) []exchange.HeaderField {
	remaining := max(j.deadline.Sub(g.deps.Now()).Milliseconds(), 1)
	fields := []exchange.HeaderField{
		{Name: g.deps.Headers.DeadlineMs, Value: strconv.FormatInt(remaining, 10)},
		{Name: g.deps.Headers.CallerService, Value: j.caller},
	}
	if server != "" {
		fields = append(fields, exchange.HeaderField{Name: g.deps.Headers.ExpectedServer, Value: server})
	}
	return fields
}

// owns reports whether an answer can be the one to the request: a server may send
// a second answer to an earlier request late.
func (g *gate) owns(j *job, response *http.Response) bool {
	id := response.Header.Get(g.deps.Headers.RequestID)
	return id == "" || id == j.id
}

// checkAnswer refuses an answer that is not the server's whole answer to the
// request.
func (g *gate) checkAnswer(j *job, e *exchange.Exchange) *refusal {
	response := e.Response
	header := response.Header
	if response.StatusCode == http.StatusMisdirectedRequest {
		return &refusal{code: result.ServerGone, message: "another server has the address", arrived: true}
	}
	if header.Get(g.deps.Headers.NotExecuted) != "" {
		return &refusal{code: result.ServerRefused, message: fmt.Sprintf("the server beside node %s answered %d without running the request", g.config.Node, response.StatusCode), arrived: true}
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

// noteContent records whether the server finished the content of a request or broke
// off, which it does when it ends.
func (g *gate) noteContent(j *job, whole bool) {
	if !whole {
		g.deps.Crashes.AddBroken(g.deps.Now(), j.content())
		return
	}
	blocks := g.deps.View().Blocklist()
	if blocks.Empty() {
		return
	}
	if content := j.content(); blocks.IsSuspect(content) && g.deps.Crashes.AddServed(g.deps.Now(), content) {
		g.deps.CrashesChanged()
	}
}

// refuseExchange states what is known of a request whose exchange with the server
// failed before the head of the answer.
func (g *gate) refuseExchange(ctx context.Context, j *job, server string, failed *exchange.Error) *refusal {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, message: "the caller gave up", cancelled: true, arrived: failed.MaybeDelivered}
	case !failed.MaybeDelivered && ctx.Err() != nil:
		return refuse(result.DeadlineNotRun, "the deadline passed before the server took the connection")
	case !failed.MaybeDelivered:
		g.deps.ServerLost(server)
		return refuse(result.ServerGone, "the server beside node "+g.config.Node+" takes no connection: "+failed.Cause.Error())
	case ctx.Err() != nil:
		g.failures.add(g.deps.Now(), true)
		return &refusal{code: result.DeadlineUnknown, message: "the deadline passed while the server was running the request", arrived: true}
	default:
		g.failures.add(g.deps.Now(), true)
		g.metrics.broken.Inc(1)
		g.noteContent(j, false)
		if errors.Is(failed.Cause, syscall.ECONNRESET) {
			g.client.CloseIdle(g.config.Server)
		}
		return &refusal{code: result.OutcomeUnknown, message: "the connection to the server broke: " + failed.Cause.Error(), arrived: true}
	}
}

// report returns the state of the server for an answer to a request that arrived
// at the given time.
func (g *gate) report(arrived time.Time) balance.Report {
	now := g.deps.Now()
	load := g.deps.Slots.Load()
	return balance.Report{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, HoldTime: load.HoldTime,
		FailureRate: g.failures.load(now), TotalTime: now.Sub(arrived),
	}
}
