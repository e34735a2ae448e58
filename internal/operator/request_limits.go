package operator

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// withLimits counts a request and bounds its body, its time and the number of
// requests that are answered at once. Each bound has a counter.
func (a *api) withLimits(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.counters.requests.Inc(1)
		select {
		case a.running <- struct{}{}:
			defer func() { <-a.running }()
		default:
			a.counters.limitRequests.Inc(1)
			writeProblem(w, result.Errorf(result.NodeUnreachable, "host %s answers %d operator requests already and refused this one", a.View().Self.ID, cap(a.running)))
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
