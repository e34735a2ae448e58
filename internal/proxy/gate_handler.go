package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// serve handles a request from the outbound proxy of another node.
func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	j, refused := g.acceptHop(w, r)
	if refused != nil {
		g.refuse(w, refused, balance.Report{})
		return
	}
	defer j.body.Free()
	arrived := g.deps.Now()
	settle, ok := g.link.Admit(j.route, j.maxWait)
	if !ok {
		refused := refuse(result.Overloaded, fmt.Sprintf("the answers ahead occupy the link of the host for %s", g.link.Backlog().Round(time.Millisecond)))
		report := g.report(arrived)
		g.log(j, refused, report)
		g.refuse(w, refused, report)
		return
	}
	defer settle()
	found, refused, report := g.run(r.Context(), j)
	if refused == nil && g.link.IsLarge(found.length) {
		// A response that waits for the link must not hold a slot of the server.
		found, refused = keep(found, g.config.MaxBufferedBytes)
		report.Spent = g.deps.Now().Sub(arrived)
	}
	g.log(j, refused, report)
	if refused != nil {
		g.refuse(w, refused, report)
		return
	}
	found.copyHeader(w.Header())
	g.setAccount(w, result.OK, report)
	if found.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(found.length, 10)}
	}
	w.WriteHeader(found.status)
	if found.length > 0 {
		g.link.Sized(j.route, found.length)
	}
	settle()
	whole := transmit(r.Context(), w, found, g.link)
	found.finish(whole)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// acceptHop reads the request of an outbound proxy. An interim response tells the
// outbound proxy that this node is alive: 102 at once without a body, or 100 when the
// body is read.
func (g *gate) acceptHop(w http.ResponseWriter, r *http.Request) (*job, *refusal) {
	h, err := parseHop(r.Header.Get(headerHop))
	if err != nil {
		return nil, refuse(result.BadRequest, err.Error())
	}
	now, arrived := g.deps.Now(), sinceBoot()
	late := g.late.of(h.clock, h.sent, arrived)
	if late > g.config.AckTimeout {
		return nil, refuse(result.DeadlineNotRun, fmt.Sprintf("the request was %s longer on its way than others, so that its front has given it up", late.Round(time.Millisecond)))
	}
	h.remaining, h.due = max(h.remaining-late, 0), max(h.due-late, 0)
	j := &job{
		id: r.Header.Get(g.deps.Headers.RequestID), route: h.route, service: h.service,
		caller: r.Header.Get(g.deps.Headers.CallerService),
		method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header,
		idempotent: h.idempotent, priority: h.priority, deadline: now.Add(h.remaining), due: now.Add(h.due), late: h.due == 0, maxWait: h.maxWait,
		arrived: arrived, budget: h.remaining,
	}
	if refused := g.check(j, g.deps.Server.Server().State); refused != nil {
		return nil, refused
	}
	if r.ContentLength == 0 {
		w.WriteHeader(http.StatusProcessing)
		j.body = &exchange.Body{}
		return j, nil
	}
	j.body, err = readBody(w, r, j.deadline, g.config.MaxBufferedBytes)
	if err != nil {
		return nil, refuse(result.BadRequest, "read the request body: "+err.Error())
	}
	return j, nil
}

// refuse sends a refusal to the outbound proxy.
func (g *gate) refuse(w http.ResponseWriter, refused *refusal, report balance.Report) {
	g.setAccount(w, refused.code, report)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(refused.message)))
	status := http.StatusServiceUnavailable
	if !refused.notRun() {
		status = http.StatusBadGateway
	}
	if refused.arrived {
		w.Header().Set(headerArrived, "1")
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(refused.message))
}

// setInternalHeaders sets the headers for the outbound proxy.
func (g *gate) setAccount(w http.ResponseWriter, code result.Code, report balance.Report) {
	w.Header()[headerOutcome] = []string{strconv.Itoa(int(code))}
	w.Header()[headerReport] = []string{formatReport(report)}
	w.Header()[HeaderVersion] = []string{strconv.FormatUint(uint64(g.deps.Routes.Version()), 10)}
}

// log writes a line for a refused request.
func (g *gate) log(j *job, refused *refusal, report balance.Report) {
	if refused == nil || refused.cancelled {
		return
	}
	server := g.deps.Server.Server()
	g.deps.Log.WithFields(map[string]any{
		"request": j.id, "route": j.route, "server": server.ID, "state": server.State,
		"running": report.Running, "waiting": report.Waiting, "slots": report.Slots,
		"max_wait_ms": j.maxWait.Milliseconds(), "spent_ms": report.Spent.Milliseconds(), "code": int(refused.code),
	}).Info("inbound: " + refused.message)
}

// readBody reads up to maxBuffered bytes of a request body before the deadline. A
// longer body is streamed.
func readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, kept int) (*exchange.Body, error) {
	if r.ContentLength == 0 {
		return &exchange.Body{}, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set the read deadline: %w", err)
	}
	read, err := exchange.ReadBody(r, kept)
	if err != nil {
		return nil, err
	}
	if read.IsKept() {
		err = controller.SetReadDeadline(time.Time{})
	} else {
		// A server may respond before it has read the complete body.
		err = controller.EnableFullDuplex()
	}
	if err != nil {
		read.Free()
		return nil, fmt.Errorf("prepare the connection: %w", err)
	}
	return read, nil
}
