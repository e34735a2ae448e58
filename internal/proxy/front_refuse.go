package proxy

import (
	"net/http"
	"strconv"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// refuse responds to the caller with a refusal. Status 503 guarantees that the
// request has not run and will not run.
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
		header.Set(f.deps.Headers.RequestID, c.job.id)
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
