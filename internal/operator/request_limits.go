package operator

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// withLimits counts the requests of a handler and limits the size of the body,
// the duration and the number of concurrent requests. Each limit has a counter.
func (a *api) withLimits(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.counters.requests.Inc(1)
		select {
		case a.running <- struct{}{}:
			defer func() { <-a.running }()
		default:
			a.counters.limitRequests.Inc(1)
			writeProblem(w, result.Errorf(result.NodeUnreachable, "host %s refused the request, because it is already handling %d operator requests, the maximum", a.View().Self.ID, cap(a.running)))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		handler(w, r)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.counters.limitTime.Inc(1)
		}
	}
}
