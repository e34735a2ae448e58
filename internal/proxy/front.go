package proxy

import (
	"context"
	"net/http"
	"sync/atomic"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// outbound is the proxy for the callers on this host. It forwards their requests to
// inbound proxies.
type front struct {
	config   Config
	deps     Deps
	metrics  *metrics
	client   *exchange.Client
	gate     *gate
	splitter *routing.Splitter
	budgets  *budgets
	patience *patience
	// clockID identifies the clock of the timestamps in hop headers.
	clock string
	// draining closes each connection of a caller after its next response.
	draining atomic.Bool
}

// serve handles one request of a caller.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	c, refused := f.accept(w, r)
	if refused != nil {
		f.refuse(w, c, refused)
		return
	}
	defer c.job.body.Free()
	ctx, cancel := context.WithDeadline(r.Context(), c.job.deadline.Add(f.config.ResponseGrace))
	defer cancel()
	found, refused := f.run(ctx, c)
	if refused != nil {
		f.refuse(w, c, refused)
		return
	}
	f.respond(r.Context(), w, c, found)
}

// refuseUnread refuses a request without matching its route or reading its body.
func (f *front) refuseUnread(w http.ResponseWriter, r *http.Request) {
	c := &call{started: f.deps.Now(), job: &job{id: r.Header.Get(f.deps.Headers.RequestID)}}
	f.refuse(w, c, refuse(result.Draining, "node "+f.config.Node+" is stopping"))
}
