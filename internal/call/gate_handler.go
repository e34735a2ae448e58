package call

import (
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// serve answers a call that a front on another node sent.
func (g *gate) serve(w http.ResponseWriter, r *http.Request) {
	g.metrics.gateCalls.Inc(1)
	stated, err := parseHop(r.Header.Get(headerHop))
	if err != nil {
		g.refuse(w, stated.id, refuseError(err, result.BadRequest))
		return
	}
	call, refused := g.accept(w, r, stated)
	if refused != nil {
		g.refuse(w, stated.id, refused)
		return
	}
	found, refused := g.do(r.Context(), call)
	if refused != nil {
		call.body.Release()
		g.refuse(w, stated.id, refused)
		return
	}
	header := w.Header()
	found.copyHeader(header)
	header[HeaderRun] = []string{string(result.Ran)}
	if found.load != nil {
		header[HeaderLoad] = []string{formatLoad(*found.load)}
	}
	whole, _ := send(w, found, call.deadline)
	call.body.Release()
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// refuse sends a refusal to the front, with the load.
func (g *gate) refuse(w http.ResponseWriter, id string, refused *refusal) {
	w.Header()[HeaderLoad] = []string{formatLoad(*g.load())}
	refused.write(w, id)
}

// accept reads the call of a front. The call counts as non-idempotent when the
// configuration of either node says so, because the two may differ for a short
// time after a change.
func (g *gate) accept(w http.ResponseWriter, r *http.Request, stated hop) (*request, *refusal) {
	call := &request{
		id: stated.id, service: serviceOf(r.Host), method: r.Method, uri: uriOf(r), header: r.Header,
		key: r.Header.Get(HeaderKey), once: stated.once, priority: stated.priority,
		deadline: g.deps.Now().Add(stated.remaining), objective: g.deps.Now().Add(stated.objective), attempt: stated.attempt, depth: stated.depth,
	}
	if snapshot := g.deps.Snapshots.Load(); snapshot != nil {
		if target, found := snapshot.Match(call.service, r.Method, r.URL.Path); found && !target.Idempotent {
			call.once = true
		}
	}
	if call.once && call.key == "" {
		return nil, refuse(result.KeyRequired, "the call is not idempotent and has no "+HeaderKey+" header")
	}
	read, refused := readRequestBody(w, r, call.deadline, call.once, g.config, g.metrics)
	call.body = read
	return call, refused
}

// keptTimeout bounds the sending of a kept answer, which is small.
const keptTimeout = 5 * time.Second

// serveKept answers a front that asks for the kept answer of a claimed call.
func (g *gate) serveKept(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(r.Header.Get(headerKept), 16, 64)
	if err != nil {
		g.refuse(w, "", refuse(result.BadRequest, "header "+headerKept+" is malformed"))
		return
	}
	kept := g.kept(r.Context(), serviceOf(r.Host), r.Header.Get(HeaderKey), fingerprint)
	if kept == nil {
		g.refuse(w, "", refuse(result.RepeatUnknown, "no answer is kept for the key"))
		return
	}
	kept.copyHeader(w.Header())
	w.Header()[HeaderRun] = []string{string(result.Ran)}
	send(w, kept, g.deps.Now().Add(keptTimeout))
}
