package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// accept matches the route of a request and reads its body. The call is never nil: a
// refusal is logged with it.
func (f *front) accept(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	now := f.deps.Now()
	c := &call{started: now, table: f.deps.Routes.Load(), job: &job{
		id: r.Header.Get(f.deps.Headers.RequestID), caller: f.config.Service,
		method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, arrived: sinceBoot(),
	}}
	if c.table == nil {
		return c, refuse(result.NodeNotReady, "the node holds no configuration yet")
	}
	route, found := c.table.Match(r.Host, r.URL.Path)
	if !found {
		return c, refuse(result.NoTarget, "no route matches host "+r.Host+" and the path of the request")
	}
	c.route = route
	c.job.route, c.job.idempotent, c.job.priority = route.Name, route.Idempotent, route.Priority
	c.job.service = f.splitter.Next(route, uint64(f.deps.Random()*splitOffsets))
	f.setTimes(c, r, now)
	c.budget = f.budgets.of(c.job.service)
	c.budget.RecordRequest(now)
	if limit := c.table.Limits().BodyBytes; r.ContentLength > limit {
		return c, refuse(result.BodyTooLarge, fmt.Sprintf("the body of %d bytes exceeds the limit of %d", r.ContentLength, limit))
	}
	body, err := readBody(w, r, c.job.deadline, f.config.MaxBufferedBytes)
	if err != nil {
		refused := refuse(result.BadRequest, "read the request body: "+err.Error())
		refused.cancelled = r.Context().Err() != nil
		return c, refused
	}
	c.job.body = body
	return c, nil
}

// rotationOffsets is the range of the random offset at which the rotation of a route
// starts.
const splitOffsets = 1 << 16

// setTimes sets the deadline of the request, from the shorter of the route's timeout
// and the one that the caller states, and when the response is due.
func (f *front) setTimes(c *call, r *http.Request, now time.Time) {
	c.job.budget = c.route.Timeout
	c.job.due = now.Add(c.route.Objective)
	millis, err := strconv.ParseInt(r.Header.Get(f.deps.Headers.DeadlineMs), 10, 64)
	if err == nil && millis > 0 && millis <= maxHopTime.Milliseconds() {
		stated := time.Duration(millis) * time.Millisecond
		c.job.budget = min(c.job.budget, stated)
		c.job.due = c.job.due.Add(-f.patience.spent(c.job.arrived, c.route.Name, stated))
	}
	c.job.deadline = now.Add(c.job.budget)
}
