package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// respond sends the response of a server to the caller. It aborts the connection
// after a truncated response, so that the caller doesn't take it for a complete one.
func (f *front) respond(ctx context.Context, w http.ResponseWriter, c *call, found *answer) {
	found.copyHeader(w.Header())
	if found.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(found.length, 10)}
	}
	if found.length > 0 {
		f.deps.Balancer.Sized(c.job.route, found.length+max(c.job.body.Length, 0))
	}
	w.WriteHeader(found.status)
	whole := transmit(ctx, w, found, f.gate.link)
	found.finish(whole)
	f.log(c, nil, found.status)
	if !whole {
		f.metrics.broken.Inc(1)
		panic(http.ErrAbortHandler)
	}
	f.metrics.answered.Inc(1)
	f.metrics.latency.RecordDuration(f.deps.Now().Sub(c.started))
}

// log writes the log line of a request, with the basis of the last choice and the
// outcome.
func (f *front) log(c *call, refused *refusal, status int) {
	now := f.deps.Now()
	fields := map[string]any{
		"request": c.job.id, "ms": now.Sub(c.started).Milliseconds(), "attempts": c.attempts, "arrivals": c.arrivals,
	}
	if c.table != nil {
		fields["version"] = uint64(c.table.Version())
	}
	if c.route != nil {
		fields["route"], fields["service"] = c.route.Name, c.job.service
	}
	if c.attempts > 0 {
		fields["node"], fields["server"] = c.choice.Entry.Node, c.choice.Entry.Server
		fields["cost"], fields["load_age_ms"] = int(c.choice.Cost*thousandths), c.choice.Age/time.Millisecond
		fields["tried"] = c.excluded
	}
	entry := f.deps.Log.WithFields(fields)
	if refused == nil {
		entry.WithField("status", status).Info("answered")
		return
	}
	entry.WithField("code", int(refused.code)).WithField("reason", refused.message).Info("refused")
}
