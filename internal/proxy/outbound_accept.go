package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/ingress"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// accept matches the route of a request and reads its body. The call is never nil: a
// refusal is logged with it.
func (o *outbound) accept(w http.ResponseWriter, r *http.Request) (*call, *refusalReason) {
	now := o.deps.Now()
	waited := waitedInPipeline(r, now)
	c := &call{started: now.Add(-waited), connection: r.RemoteAddr, waited: waited, table: o.deps.Routes.Load(), request: &upstreamRequest{
		id: r.Header.Get(o.deps.Headers.RequestID), caller: o.deps.Server.Server().Service,
		method: r.Method, host: r.Host, header: r.Header, receivedAt: boottime.Now() - waited,
	}}
	if c.table == nil {
		return c, newRefusal(result.NodeNotReady, "the node holds no configuration yet")
	}
	if ids := r.Header[o.deps.Headers.RequestID]; len(ids) > 1 {
		return c, newRefusal(result.BadRequest, fmt.Sprintf("the request has %d %s fields, so that a server may know it by another ID", len(ids), o.deps.Headers.RequestID))
	}
	uri, route, err := matchRoute(c.table, r)
	if err != nil {
		return c, newRefusal(result.BadRequest, err.Error())
	}
	if route == nil {
		return c, newRefusal(result.NoTarget, "no route matches host "+r.Host+" and the path of the request")
	}
	c.route, c.request.uri = route, uri
	c.request.route, c.request.idempotent, c.request.priority = route.Name, route.Idempotent, route.Priority
	if refusal := o.authorize(c, r.Header); refusal != nil {
		return c, refusal
	}
	c.request.service = o.splitter.Next(route, uint64(o.deps.Random()*rotationOffsets))
	o.setTimes(c, r)
	c.retryBudget = o.retryBudgets.forService(c.request.service)
	c.retryBudget.RecordRequest(now)
	if err := o.inbound.readBody(w, r, c.request); err != nil {
		refusal := newRefusal(bodyErrorCode(err), "read the request body: "+err.Error())
		refusal.cancelled = r.Context().Err() != nil
		return c, refusal
	}
	if o.refusing.Load() {
		o.inbound.releaseBody(c.request)
		return c, o.refusalAtStop()
	}
	if c.request.expired(o.deps.Now()) {
		o.inbound.releaseBody(c.request)
		return c, newRefusal(result.DeadlineNotRun, "the deadline passed before the request was forwarded")
	}
	return c, nil
}

// waitedInPipeline returns how long a request waited for the ones before it on its
// connection.
func waitedInPipeline(r *http.Request, now time.Time) time.Duration {
	receivedAt, ok := ingress.ReceivedAt(r.Context())
	if !ok {
		return 0
	}
	return max(now.Sub(receivedAt), 0)
}

// bodyErrorCode returns the result code of a body that can't be read.
func bodyErrorCode(err error) result.Code {
	switch code := result.CodeOf(err); {
	case code == result.BodyTooLarge || code == result.Overloaded:
		return code
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.RequestTimeout
	default:
		return result.BadRequest
	}
}

// rotationOffsets is the range of the random offset at which the rotation of a route
// starts.
const rotationOffsets = 1 << 16

// setTimes sets the time when the response is due and the deadline, which follows
// from the route's timeout or from the one that the caller states, if that is shorter.
func (o *outbound) setTimes(c *call, r *http.Request) {
	c.request.timeout = c.route.Timeout
	c.request.due = c.started.Add(c.route.Objective)
	millis, err := strconv.ParseInt(r.Header.Get(o.deps.Headers.DeadlineMs), 10, 64)
	if err == nil && millis > 0 && millis <= maxHopTime.Milliseconds() {
		stated := time.Duration(millis) * time.Millisecond
		c.request.timeout = min(c.request.timeout, stated)
		c.request.due = c.request.due.Add(-o.callerTimeouts.elapsed(c.request.receivedAt, c.route.Name, stated))
	}
	c.request.deadline = c.started.Add(c.request.timeout)
	o.limitToEnd(c.request)
}
