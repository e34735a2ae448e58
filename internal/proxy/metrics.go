package proxy

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// latencyBuckets range from a call on the same host to the longest timeouts.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics counts the outcomes of requests and attempts.
type metrics struct {
	scope            tally.Scope
	responses        tally.Counter
	refusedByNode    tally.Counter
	retried          tally.Counter
	retriesDenied    tally.Counter
	broken           tally.Counter
	invalidResponses tally.Counter
	invalidLimits    tally.Counter
	failedAsRefusal  tally.Counter
	unattributed     tally.Counter
	cancelled        tally.Counter
	inboundRequests  tally.Counter
	latency          tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:            scope,
		responses:        scope.Counter("answered"),
		refusedByNode:    scope.Counter("bounced"),
		retried:          scope.Counter("repeated"),
		retriesDenied:    scope.Counter("repeats_denied"),
		broken:           scope.Counter("broken"),
		invalidResponses: scope.Counter("spoiled"),
		invalidLimits:    scope.Counter("invalid_limits"),
		failedAsRefusal:  scope.Counter("failed_with_refusal_status"),
		unattributed:     scope.Counter("unattributed_responses"),
		cancelled:        scope.Counter("cancelled"),
		inboundRequests:  scope.Counter("gated"),
		latency:          scope.Histogram("latency", latencyBuckets),
	}
}

// refused counts a refused request by result code.
func (m *metrics) refused(code result.Code) {
	m.scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("refused").Inc(1)
}
