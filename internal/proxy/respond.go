package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// respond sends the response of a server to the caller. It aborts the connection
// after a truncated response, so that the caller doesn't take it for a complete one.
func (o *outbound) respond(ctx context.Context, w http.ResponseWriter, c *call, response *serverResponse) {
	response.copyHeader(w.Header())
	if response.length >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(response.length, 10)}
	}
	if response.length > 0 {
		o.deps.Balancer.ObserveSize(c.request.route, response.length+max(c.request.body.Length, 0))
	}
	w.WriteHeader(response.status)
	complete := transmit(ctx, w, response, o.inbound.link, c.request.deadline.Add(o.config.ResponseGrace))
	response.finish(complete)
	o.log(c, nil, response.status)
	if !complete {
		o.metrics.broken.Inc(1)
		panic(http.ErrAbortHandler)
	}
	o.metrics.responses.Inc(1)
	o.metrics.latency.RecordDuration(o.deps.Now().Sub(c.started))
}

// log writes the log line of a request, with the basis of the last choice and the
// outcome.
func (o *outbound) log(c *call, refusal *refusalReason, status int) {
	now := o.deps.Now()
	fields := map[string]any{
		"request": c.request.id, "ms": now.Sub(c.started).Milliseconds(), "attempts": c.attempts, "arrivals": c.deliveries,
	}
	if c.connection != "" {
		fields["connection"] = c.connection
	}
	if waited := c.waited.Milliseconds(); waited > 0 {
		fields["waited_ms"] = waited
	}
	if c.table != nil {
		fields["version"] = uint64(c.table.Version())
	}
	if c.route != nil {
		fields["route"], fields["service"] = c.route.Name, c.request.service
	}
	if c.workspace != nil {
		fields["workspace"] = c.workspace.Name
	}
	if c.attempts > 0 {
		fields["node"], fields["server"] = c.choice.Entry.Node, c.choice.Entry.Server
		fields["cost"], fields["load_age_ms"] = int(c.choice.Cost*thousandths), c.choice.LoadAge/time.Millisecond
		fields["tried"] = c.excluded
	}
	entry := o.deps.Log.WithFields(fields)
	if refusal == nil {
		entry.WithField("status", status).Info("answered")
		return
	}
	entry.WithField("code", int(refusal.code)).WithField("reason", refusal.message).Info("refused")
}
