package proxy

import (
	"net/http"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// refuse responds to the caller with a refusal. Status 503 guarantees that the
// request has not run and will not run.
func (o *outbound) refuse(w http.ResponseWriter, c *call, refusal *refusalReason) {
	o.log(c, refusal, 0)
	o.returnToWorkspace(c, refusal)
	if refusal.cancelled {
		o.metrics.cancelled.Inc(1)
		panic(http.ErrAbortHandler)
	}
	o.metrics.refused(refusal.code)
	header := w.Header()
	header.Set(HeaderResult, strconv.Itoa(int(refusal.code)))
	status := statusOf(refusal)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		header.Set("Retry-After", strconv.FormatFloat(o.retryAfter(c, refusal).Seconds(), 'f', -1, 64))
	}
	if status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if c.request.id != "" {
		header.Set(o.deps.Headers.RequestID, c.request.id)
	}
	http.Error(w, refusal.message, status)
}

// retryAfter returns the time after which the caller should send a refused request
// again.
func (o *outbound) retryAfter(c *call, refusal *refusalReason) time.Duration {
	if refusal.retryAfter > 0 {
		return refusal.retryAfter.Round(time.Millisecond)
	}
	if c.route == nil {
		return o.config.RetryAfter.Default
	}
	left := c.request.due.Sub(o.deps.Now()) - o.deps.Balancer.ExpectedServiceTime(c.request.route)
	return o.config.RetryAfter.For(refusal.code, left)
}

func statusOf(refusal *refusalReason) int {
	switch refusal.code {
	case result.NoTarget:
		return http.StatusNotFound
	case result.RateLimited:
		return http.StatusTooManyRequests
	case result.UnknownKey:
		return http.StatusUnauthorized
	case result.BadRequest:
		return http.StatusBadRequest
	case result.BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.RequestTimeout:
		return http.StatusRequestTimeout
	case result.DeadlineUnknown:
		return http.StatusGatewayTimeout
	}
	if refusal.notRun() {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
