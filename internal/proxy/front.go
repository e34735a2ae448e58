package proxy

import (
	"context"
	"net/http"
	"sync/atomic"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// front takes requests of the callers on this host and sends them to gates.
type front struct {
	config   Config
	deps     Deps
	metrics  *metrics
	client   *exchange.Client
	gate     *gate
	splitter *routing.Splitter
	budgets  *budgets
	patience *patience
	// clock names the clock that requests to gates are stamped with.
	clock string
	// draining ends each connection of a caller with its next answer.
	draining atomic.Bool
}

// serve answers one request.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	c, refused := f.accept(w, r)
	if refused != nil {
		f.refuse(w, c, refused)
		return
	}
	defer c.job.body.Release()
	ctx, cancel := context.WithDeadline(r.Context(), c.job.deadline.Add(f.config.ResponseGrace))
	defer cancel()
	found, refused := f.run(ctx, c)
	if refused != nil {
		f.refuse(w, c, refused)
		return
	}
	f.respond(r.Context(), w, c, found)
}

// refuseUnread refuses a request of which nothing is looked at.
func (f *front) refuseUnread(w http.ResponseWriter, r *http.Request) {
	c := &call{started: f.deps.Now(), job: &job{id: r.Header.Get(f.deps.Headers.RequestID)}}
	f.refuse(w, c, refuse(result.Draining, "node "+f.config.Node+" is stopping"))
}
