package operator

import (
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// counters counts the requests of the operator port and the limits reached.
type counters struct {
	requests        tally.Counter
	forwarded       tally.Counter
	forwardFailures tally.Counter
	limitBody       tally.Counter
	limitConns      tally.Counter
	limitRequests   tally.Counter
	limitTime       tally.Counter
	limitResponse   tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	scope = scope.SubScope("operator")
	return &counters{
		requests:        scope.Counter("requests"),
		forwarded:       scope.Counter("forwarded"),
		forwardFailures: scope.Counter("forward_failures"),
		limitBody:       scope.Counter("limit_body"),
		limitConns:      scope.Counter("limit_connections"),
		limitRequests:   scope.Counter("limit_requests"),
		limitTime:       scope.Counter("limit_time"),
		limitResponse:   scope.Counter("limit_answer"),
	}
}

// countOversizedBody counts a request body that exceeded the maximum size.
func (c *counters) countOversizedBody(err error) {
	if result.CodeOf(err) == result.DocumentTooLarge {
		c.limitBody.Inc(1)
	}
}
