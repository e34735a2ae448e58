package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/retry"
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
}

// call is one request of a caller with the table and view that it uses from start
// to end.
type call struct {
	job     *job
	route   *routing.Route
	table   *routing.Table
	started time.Time
	budget  *retry.ServiceBudget

	excluded []string
	// attempts counts the sendings, arrivals those that may have reached a server.
	attempts, arrivals int
	// unknown is set once an attempt may have run.
	unknown bool
	choice  balance.Choice
}

// serve answers one request.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	c, refused := f.accept(w, r)
	if refused != nil {
		f.refuse(w, c, refused)
		return
	}
	defer c.job.body.Free()
	ctx, cancel := context.WithDeadline(r.Context(), c.job.deadline.Add(f.config.AnswerGrace))
	defer cancel()
	found, refused := f.run(ctx, c)
	if refused != nil {
		f.refuse(w, c, refused)
		return
	}
	f.respond(w, c, found)
}

// accept matches the route of a request and reads its body. The call is returned
// with a refusal, too, for the log.
func (f *front) accept(w http.ResponseWriter, r *http.Request) (*call, *refusal) {
	now := f.deps.Now()
	c := &call{started: now, table: f.deps.Routes.Load(), job: &job{
		id: r.Header.Get(f.deps.Vocabulary.RequestID), caller: f.config.Service,
		method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header, arrived: sinceBoot(),
	}}
	if c.table == nil {
		return c, refuse(result.NodeNotReady, "the node holds no configuration yet")
	}
	route, found := c.table.Match(r.Host, r.URL.Path)
	if !found {
		return c, refuse(result.NoTarget, "no route matches host "+r.Host+" and the path")
	}
	c.route = route
	c.job.route, c.job.idempotent, c.job.priority = route.Name, route.Idempotent, route.Priority
	c.job.service = f.splitter.Next(route, uint64(f.deps.Random()*splitOffsets))
	f.setTimes(c, r, now)
	c.budget = f.budgets.of(c.job.service)
	c.budget.First(now)
	if limit := c.table.Limits().BodyBytes; r.ContentLength > limit {
		return c, refuse(result.BodyTooLarge, fmt.Sprintf("the body of %d bytes exceeds the limit of %d", r.ContentLength, limit))
	}
	body, err := readBody(w, r, c.job.deadline, f.config.KeptBytes)
	if err != nil {
		refused := refuse(result.BadRequest, "the body of the request ended early: "+err.Error())
		refused.cancelled = r.Context().Err() != nil
		return c, refused
	}
	c.job.body = body
	return c, nil
}

// splitOffsets is the range of the random start of a route's rotation.
const splitOffsets = 1 << 16

// setTimes sets when the request must be answered, the route's time-out or what
// the caller says that it waits, whichever is shorter, and when it should be.
func (f *front) setTimes(c *call, r *http.Request, now time.Time) {
	c.job.budget = c.route.Timeout
	c.job.due = now.Add(c.route.Objective)
	millis, err := strconv.ParseInt(r.Header.Get(f.deps.Vocabulary.DeadlineMs), 10, 64)
	if err == nil && millis > 0 && millis <= maxHopTime.Milliseconds() {
		stated := time.Duration(millis) * time.Millisecond
		c.job.budget = min(c.job.budget, stated)
		c.job.due = c.job.due.Add(-f.patience.spent(now, c.route.Name, stated))
	}
	c.job.deadline = now.Add(c.job.budget)
}

// refuseUnread refuses a request of which nothing is looked at.
func (f *front) refuseUnread(w http.ResponseWriter, r *http.Request) {
	c := &call{started: f.deps.Now(), job: &job{id: r.Header.Get(f.deps.Vocabulary.RequestID)}}
	f.refuse(w, c, refuse(result.Draining, "node "+f.config.Node+" is stopping"))
}

// run makes attempts until one is answered or no other may follow.
func (f *front) run(ctx context.Context, c *call) (*answer, *refusal) {
	var last *refusal
	for bounces := 0; ; {
		entry, ok := f.choose(c)
		if !ok {
			return nil, f.exhausted(c, last)
		}
		found, refused := f.attempt(ctx, c, entry)
		if refused == nil && !f.isRepeatable(c, found) {
			return found, nil
		}
		if refused == nil {
			// The server failed the request; another one may serve it.
			c.arrivals++
			if !f.mayRepeat(ctx, c) {
				return found, nil
			}
			found.finish(false)
			last = refuse(result.OutcomeUnknown, "the server answered "+strconv.Itoa(found.status))
			continue
		}
		last = refused
		c.unknown = c.unknown || !refused.notRun()
		if refused.arrived {
			c.arrivals++
		}
		if refused.cancelled || (c.unknown && !c.job.idempotent) {
			return nil, refused
		}
		if refused.arrived || refused.unreachable && !refused.notRun() {
			if !f.mayRepeat(ctx, c) {
				return nil, f.exhausted(c, refused)
			}
			continue
		}
		f.metrics.bounced.Inc(1)
		if bounces++; bounces >= f.config.Bounces || ctx.Err() != nil {
			return nil, f.exhausted(c, refused)
		}
	}
}

// isRepeatable reports whether an answer is a failure that another server may not
// share.
func (f *front) isRepeatable(c *call, found *answer) bool {
	return c.job.idempotent && found.status >= http.StatusInternalServerError && found.status != http.StatusGatewayTimeout
}

// mayRepeat reports whether a request that may have reached a server may be sent
// to another one, and pays for it.
func (f *front) mayRepeat(ctx context.Context, c *call) bool {
	if c.arrivals >= c.route.MaxAttempts || ctx.Err() != nil || !c.job.body.CanSend() {
		return false
	}
	now := f.deps.Now()
	if c.job.deadline.Sub(now) < f.deps.Balancer.Expected(c.job.route) {
		return false
	}
	nodes := max(1, len(f.deps.View().Entries()))
	if !c.budget.Take(now, f.config.BudgetSlack*slackShare/float64(nodes)) {
		f.metrics.denied.Inc(1)
		return false
	}
	f.metrics.repeated.Inc(1)
	return true
}

// slackShare is the part of the fleet's slack that the nodes divide. The rest
// covers the repeats of calls that a repeated request makes.
const slackShare = 0.5

// exhausted returns what the caller is told when no further attempt may follow.
func (f *front) exhausted(c *call, last *refusal) *refusal {
	if last == nil {
		return refuse(result.NoServer, "no server of service "+c.job.service+" is ready")
	}
	if c.unknown && last.notRun() {
		return refuse(result.OutcomeUnknown, "an earlier attempt may have run; then: "+last.message)
	}
	return last
}

// choose returns the node whose server gets the next attempt.
func (f *front) choose(c *call) (fleet.Entry, bool) {
	now := f.deps.Now()
	candidates := f.deps.View().Ready(c.job.service)
	choice, found := f.deps.Balancer.Choose(now, candidates, balance.Request{
		Route:     c.job.route,
		Remaining: c.job.due.Sub(now),
		Objective: c.route.Objective,
		Excluded:  c.excluded,
		Random:    f.deps.Random,
	})
	if !found {
		return fleet.Entry{}, false
	}
	c.choice = choice
	c.excluded = append(c.excluded, choice.Entry.Node)
	c.job.maxWait = f.longestWait(c, now)
	return choice.Entry, true
}

// longestWait returns the predicted wait up to which the request is queued: as
// long as it can still meet its objective. One that can't goes behind those that
// can, and is refused rather than held when it would wait long for nothing.
func (f *front) longestWait(c *call, now time.Time) time.Duration {
	spent := f.deps.Balancer.Expected(c.job.route) + c.choice.RTT
	if left := c.job.due.Sub(now) - spent; left > 0 {
		return left
	}
	c.job.late = true
	return max(min(c.job.deadline.Sub(now)-spent, c.route.Objective/lateWaitShare), 0)
}

// lateWaitShare is the part of its objective that a late request may be predicted
// to wait.
const lateWaitShare = 2

// attempt sends the request to the gate on a node and notes what it showed.
func (f *front) attempt(ctx context.Context, c *call, entry fleet.Entry) (*answer, *refusal) {
	c.attempts++
	sent := f.deps.Now()
	var found *answer
	var refused *refusal
	var report *balance.Report
	if entry.Node == f.config.Node {
		var local balance.Report
		found, refused, local = f.gate.run(ctx, c.job)
		report = &local
	} else {
		found, refused, report = f.sendToGate(ctx, c, entry)
	}
	now := f.deps.Now()
	if refused != nil {
		f.noteRefusal(now, entry, refused)
	}
	f.deps.Balancer.Done(now, entry.Node, c.job.route, report, now.Sub(sent))
	if refused != nil {
		return nil, refused
	}
	kept, refused := f.keep(c, found)
	if refused == nil && entry.Node != f.config.Node {
		read := f.deps.Now()
		f.deps.Balancer.Transferred(read, entry.Node, kept.length, read.Sub(now))
	}
	return kept, refused
}

// noteRefusal tells the balancer about a node that takes no requests.
func (f *front) noteRefusal(now time.Time, entry fleet.Entry, refused *refusal) {
	switch {
	case refused.unreachable:
		f.deps.Balancer.Unreachable(now, entry.Node)
		f.deps.Suspect(entry)
	case refused.code == result.Draining || refused.code == result.ServerGone:
		f.deps.Balancer.NoServer(now, entry.Node)
	}
}

// refuse sends a refusal to the caller. 503 promises that the request has not
// run and never will.
func (f *front) refuse(w http.ResponseWriter, c *call, refused *refusal) {
	f.log(c, refused, 0)
	if refused.cancelled {
		f.metrics.cancelled.Inc(1)
		panic(http.ErrAbortHandler)
	}
	f.metrics.refused(refused.code)
	header := w.Header()
	header.Set(HeaderResult, strconv.Itoa(int(refused.code)))
	status := statusOf(refused)
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(f.config.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if c.job.id != "" {
		header.Set(f.deps.Vocabulary.RequestID, c.job.id)
	}
	http.Error(w, refused.message, status)
}

func statusOf(refused *refusal) int {
	switch refused.code {
	case result.NoTarget:
		return http.StatusNotFound
	case result.BadRequest:
		return http.StatusBadRequest
	case result.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.DeadlineUnknown:
		return http.StatusGatewayTimeout
	}
	if refused.notRun() {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// isTimeout reports whether a context ended by its deadline.
func isTimeout(ctx context.Context) bool { return errors.Is(ctx.Err(), context.DeadlineExceeded) }
