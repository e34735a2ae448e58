package call

import (
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// serve handles a call that the outbound proxy of another node sent.
func (in *inbound) serve(w http.ResponseWriter, r *http.Request) {
	in.metrics.inboundCalls.Inc(1)
	h, err := parseHop(r.Header.Get(headerHop))
	if err != nil {
		in.refuse(w, h.id, refuseError(err, result.BadRequest))
		return
	}
	call, refusal := in.accept(w, r, h)
	if refusal != nil {
		in.refuse(w, h.id, refusal)
		return
	}
	resp, refusal := in.do(r.Context(), call)
	if refusal != nil {
		call.body.Release()
		in.refuse(w, h.id, refusal)
		return
	}
	header := w.Header()
	resp.copyHeader(header)
	header[HeaderRun] = []string{string(result.Ran)}
	if resp.load != nil {
		header[HeaderLoad] = []string{formatLoad(*resp.load)}
	}
	complete, _ := writeResponse(w, resp, call.deadline)
	call.body.Release()
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// refuse sends a refusal with the current load to the outbound proxy.
func (in *inbound) refuse(w http.ResponseWriter, id string, refusal *refusal) {
	w.Header()[HeaderLoad] = []string{formatLoad(*in.load())}
	refusal.write(w, id)
}

// accept reads the call of an outbound proxy. The call counts as non-idempotent
// when the configuration of either node says so, because the two may differ for
// a short time after a change.
func (in *inbound) accept(w http.ResponseWriter, r *http.Request, h hop) (*request, *refusal) {
	call := &request{
		id: h.id, service: serviceOf(r.Host), method: r.Method, uri: r.RequestURI, header: r.Header,
		key: r.Header.Get(HeaderKey), atMostOnce: h.atMostOnce, priority: h.priority,
		deadline: in.deps.Now().Add(h.remaining), objective: in.deps.Now().Add(h.objective), attempt: h.attempt, depth: h.depth,
	}
	if snapshot := in.deps.Snapshots.Load(); snapshot != nil {
		_, target, err := matchTarget(snapshot, call.service, r)
		if err != nil {
			return nil, refuseError(err, result.BadRequest)
		}
		if target != nil && !target.Idempotent {
			call.atMostOnce = true
		}
	}
	if call.atMostOnce && call.key == "" {
		return nil, refuse(result.KeyRequired, "the call is not idempotent and has no "+HeaderKey+" header")
	}
	body, refusal := readRequestBody(w, r, call.deadline, call.atMostOnce, in.config, in.metrics)
	call.body = body
	return call, refusal
}

// retainedSendTimeout is the timeout for sending a retained response, which is
// small.
const retainedSendTimeout = 5 * time.Second

// serveRetained responds to an outbound proxy that requests the retained
// response to a claimed call.
func (in *inbound) serveRetained(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(r.Header.Get(headerKept), 16, 64)
	if err != nil {
		in.refuse(w, "", refuse(result.BadRequest, "header "+headerKept+": value "+strconv.Quote(r.Header.Get(headerKept))+" must be a hexadecimal fingerprint"))
		return
	}
	resp := in.retainedResponse(r.Context(), serviceOf(r.Host), r.Header.Get(HeaderKey), fingerprint)
	if resp == nil {
		in.refuse(w, "", refuse(result.RepeatUnknown, "no response is retained for the key "+strconv.Quote(r.Header.Get(HeaderKey))))
		return
	}
	resp.copyHeader(w.Header())
	w.Header()[HeaderRun] = []string{string(result.Ran)}
	writeResponse(w, resp, in.deps.Now().Add(retainedSendTimeout))
}
