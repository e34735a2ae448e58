package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// outbound is the proxy for the callers on this host. It forwards their requests to
// inbound proxies.
type outbound struct {
	config         Config
	deps           Deps
	metrics        *metrics
	client         *exchange.Client
	inbound        *inbound
	splitter       *routing.Splitter
	retryBudgets   *retryBudgets
	callerTimeouts *callerTimeouts
	streamed       streamedRoutes
	leaving        leavingServers
	// clockID identifies the clock of the timestamps in hop headers.
	clockID string
	// end is when the node ends; nil until it stops.
	end atomic.Pointer[time.Time]
	// refusing is set when new requests of callers are refused.
	refusing atomic.Bool
}

// serve handles one request of a caller.
func (o *outbound) serve(w http.ResponseWriter, r *http.Request) {
	c, refusal := o.accept(w, r)
	if refusal != nil {
		o.refuse(w, c, refusal)
		return
	}
	defer o.inbound.releaseBody(c.request)
	ctx, cancel := context.WithDeadline(r.Context(), c.request.deadline.Add(o.config.ResponseGrace))
	defer cancel()
	response, refusal := o.run(ctx, c)
	if refusal != nil {
		o.refuse(w, c, refusal)
		return
	}
	o.respond(r.Context(), w, c, response)
}

// limitToEnd shortens the times of a request to the end of a node that stops, so that its
// server responds before.
func (o *outbound) limitToEnd(req *upstreamRequest) {
	end := o.end.Load()
	if end == nil {
		return
	}
	if end.Before(req.deadline) {
		req.deadline = *end
	}
	if end.Before(req.due) {
		req.due = *end
	}
}

func (o *outbound) isStopping() bool { return o.end.Load() != nil }

// refusalAtStop returns the refusal of a request that a stopping node does not forward.
func (o *outbound) refusalAtStop() *refusalReason {
	return newRefusal(result.Draining, "node "+o.config.Node+" is stopping")
}

// refuseUnread refuses a request without matching its route or reading its body.
func (o *outbound) refuseUnread(w http.ResponseWriter, r *http.Request) {
	c := &call{started: o.deps.Now(), connection: r.RemoteAddr, request: &upstreamRequest{id: r.Header.Get(o.deps.Headers.RequestID)}}
	o.refuse(w, c, o.refusalAtStop())
}
