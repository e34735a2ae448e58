package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

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

// gate runs calls on the backend server beside the node.
type gate struct {
	config  Config
	deps    Deps
	metrics *metrics
	client  *exchange.Client
	// answered remembers calls that a server answered, so that a crash is not
	// blamed on calls that merely ran at the same time.
	answered answeredSet
	running  runningKeys
}

// running is a call at its gate.
type running struct {
	request     *request
	fingerprint uint64
	release     func()
	// claimed is set once the claim was won, and then end must be called after the
	// answer was kept or the call failed.
	claimed *claimed
	end     func()
}

// do admits a call, hands it over and returns the head of the answer. The
// context ends when the caller gives up.
func (g *gate) do(ctx context.Context, r *request) (*answer, *refusal) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	found, refused := g.admit(ctx, r)
	if refused != nil {
		cancel()
		return nil, refused
	}
	finish := found.finish
	found.finish = func(whole bool) {
		finish(whole)
		cancel()
	}
	return found, nil
}

// admit takes a call through every check up to the hand-over.
func (g *gate) admit(ctx context.Context, r *request) (*answer, *refusal) {
	if refused := g.checkServer(r); refused != nil {
		return nil, refused
	}
	call := &running{request: r, fingerprint: r.body.Fingerprint(r.method, r.uri)}
	if g.deps.Quarantine.IsBlocked(call.request.service, call.fingerprint) {
		return nil, refuse(result.Quarantined, fmt.Sprintf("calls with fingerprint %x stopped several backend servers of service %s", call.fingerprint, r.service))
	}
	if r.once {
		if refused := g.claimIfRoom(ctx, call); refused != nil {
			return nil, refused
		}
	}
	found, refused := g.acquireAndHandOver(ctx, call)
	if refused != nil {
		refused = g.withdraw(call, refused)
		if call.end != nil {
			call.end()
		}
		return nil, refused
	}
	return found, nil
}

// claimIfRoom claims the key unless the queue is full. The claim comes before the
// slot, because a slot that is held during the store's write serves no call; the
// look at the queue spares the store the claims of calls that would be shed.
func (g *gate) claimIfRoom(ctx context.Context, call *running) *refusal {
	if _, slots, queued := g.deps.Admission.Load(); queued >= maxQueuedPerSlot*max(slots, 1) {
		return refuse(result.Overloaded, "the queue of node "+g.deps.View().Self.ID+" is full")
	}
	return g.claim(ctx, call)
}

// acquireAndHandOver waits for a slot, which the call owns until its answer is
// finished.
func (g *gate) acquireAndHandOver(ctx context.Context, call *running) (*answer, *refusal) {
	release, err := g.deps.Admission.AcquireWithin(ctx, call.request.priority, call.request.objective)
	if err != nil {
		return nil, g.refuseAdmission(ctx, err)
	}
	call.release = release
	if refused := g.checkServer(call.request); refused != nil {
		release()
		return nil, refused
	}
	address := g.deps.Server.Address()
	found, refused := g.handOver(ctx, call, address)
	if refused != nil {
		// The probe takes long enough that it must not hold the slot.
		release()
		if refused.broken {
			g.probe(call, address)
		}
	}
	return found, refused
}

// checkServer refuses a call that the server beside the node must not get.
func (g *gate) checkServer(r *request) *refusal {
	server := g.deps.Server.Effective()
	switch {
	case server.State == member.ServerLeaving:
		return refuse(result.Draining, "the backend server beside node "+g.deps.View().Self.ID+" is leaving")
	case server.State == member.ServerNone:
		return refuse(result.ServerGone, "node "+g.deps.View().Self.ID+" has no backend server")
	case server.Service != r.service:
		return refuse(result.ServerGone, "the backend server beside node "+g.deps.View().Self.ID+" does not offer service "+r.service)
	default:
		return nil
	}
}

// refuseAdmission turns the error of the admission into a refusal.
func (g *gate) refuseAdmission(ctx context.Context, err error) *refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &refusal{code: result.DeadlineNotRun, run: result.NotRun, message: "the caller gave up", cancelled: true}
	}
	fallback := result.Overloaded
	if ctx.Err() != nil {
		fallback = result.DeadlineNotRun
	}
	return refuseError(err, fallback)
}

// handOver sends the call to the server and reads the head of the answer.
func (g *gate) handOver(ctx context.Context, call *running, address string) (*answer, *refusal) {
	r := call.request
	if ctx.Err() != nil {
		return nil, g.refuseAdmission(ctx, ctx.Err())
	}
	if r.once {
		ctx = detach(ctx, call)
	}
	out := &exchange.Request{SkipHeader: isOwn, Method: r.method, URI: r.uri, Host: r.service, Header: r.header, Body: r.body, AddedHeaders: g.serverFields(r)}
	g.deps.Server.Begin()
	e, failed := g.client.Do(ctx, address, out)
	if failed != nil {
		g.deps.Server.Done()
		return nil, g.refuseExchange(ctx, address, failed)
	}
	found, refused := g.acceptAnswer(ctx, call, e)
	if refused != nil {
		e.Finish(false)
		g.deps.Server.Done()
	}
	return found, refused
}

// serverFields returns the headers that tell the server about the call.
func (g *gate) serverFields(r *request) []exchange.HeaderField {
	remaining := max(r.deadline.Sub(g.deps.Now()).Milliseconds(), 1)
	return []exchange.HeaderField{
		{Name: HeaderCallID, Value: r.id},
		{Name: HeaderDeadline, Value: strconv.FormatInt(remaining, 10)},
		{Name: HeaderAttempt, Value: strconv.Itoa(r.attempt)},
		{Name: HeaderDepth, Value: strconv.Itoa(r.depth)},
	}
}

// acceptAnswer turns the head of the server's answer into an answer or a refusal.
func (g *gate) acceptAnswer(ctx context.Context, call *running, e *exchange.Exchange) (*answer, *refusal) {
	response := e.Response
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderRun) == string(result.NotRun) {
		g.deps.Admission.ServerRefused()
		return nil, refuse(result.ServerRefused, "the backend server beside node "+g.deps.View().Self.ID+" refused the call")
	}
	if !e.IsDelimited() {
		g.metrics.undelimited.Inc(1)
		return nil, refuse(result.OutcomeUnknown, "the backend server marks the end of its answer by closing the connection, so that a whole answer cannot be told from a broken one")
	}
	found := answerOf(response)
	found.load = g.load()
	found.finish = func(whole bool) {
		e.Finish(whole)
		g.deps.Server.Done()
		call.release()
		g.noteEnd(ctx, call, e.Address(), whole)
	}
	if call.request.once {
		g.keepWhole(call, found)
	}
	return found, nil
}

// noteEnd learns from the end of an answer which calls crash servers.
func (g *gate) noteEnd(ctx context.Context, call *running, address string, whole bool) {
	switch {
	case whole:
		g.answered.add(call.fingerprint)
	case ctx.Err() == nil:
		g.probe(call, address)
	}
}

// refuseExchange states what is known of a call whose exchange with the server
// failed before the head of the answer.
func (g *gate) refuseExchange(ctx context.Context, address string, failed *exchange.Error) *refusal {
	if !failed.MaybeDelivered {
		return g.refuseUnsent(ctx, address, failed.Cause)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return &refusal{code: result.OutcomeUnknown, run: result.RunUnknown, message: "the caller gave up", cancelled: true}
	case ctx.Err() != nil:
		return refuse(result.DeadlineUnknown, "the deadline passed while the backend server was running the call")
	case errors.Is(failed.Cause, exchange.ErrHeadTooLarge):
		g.metrics.limitHead.Inc(1)
		return refuse(result.OutcomeUnknown, "the answer of the backend server: "+failed.Cause.Error())
	default:
		refused := refuse(result.OutcomeUnknown, "the connection to the backend server broke: "+failed.Cause.Error())
		refused.broken = true
		return refused
	}
}

// refuseUnsent refuses a call of which nothing reached the server.
func (g *gate) refuseUnsent(ctx context.Context, address string, cause error) *refusal {
	if ctx.Err() != nil {
		return g.refuseAdmission(ctx, ctx.Err())
	}
	if errors.Is(cause, syscall.ECONNREFUSED) {
		g.deps.Server.Gone(address)
	}
	return refuseError(cause, result.ServerGone)
}

// probe tells whether a server whose connection broke is gone, and then counts
// the call as one that may have crashed it.
func (g *gate) probe(call *running, address string) {
	if g.isGone(address, crashProbeTimeout) {
		g.crashed(call, address)
		return
	}
	go func() {
		if g.isGone(address, lateCrashTimeout) {
			g.crashed(call, address)
		}
	}()
}

func (g *gate) isGone(address string, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return g.client.RefusesConnections(ctx, address)
}

// crashed notes that the server is gone and that the call may be the reason.
func (g *gate) crashed(call *running, address string) {
	g.deps.Server.Gone(address)
	if g.answered.has(call.fingerprint) {
		return
	}
	g.metrics.crashed.Inc(1)
	g.deps.Quarantine.RecordCrash(call.request.service, call.fingerprint)
}

// load returns the load of the gate for the answer.
func (g *gate) load() *route.Load {
	inFlight, slots, queued := g.deps.Admission.Load()
	return &route.Load{InFlight: inFlight, Slots: slots, Queued: queued}
}
