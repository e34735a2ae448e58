package call

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// metrics holds the counters of the call path. Each limit has one.
type metrics struct {
	calls                tally.Counter
	inboundCalls         tally.Counter
	responses            tally.Counter
	broken               tally.Counter
	cancelled            tally.Counter
	retried              tally.Counter
	limitCalls           tally.Counter
	limitKey             tally.Counter
	limitBody            tally.Counter
	limitHead            tally.Counter
	undelimitedResponses tally.Counter
	crashedServers       tally.Counter
	releaseFailed        tally.Counter
	retainedResponses    tally.Counter
	retainedTooLarge     tally.Counter
	untrustedHop         tally.Counter
	panics               tally.Counter
	refusals             map[result.Code]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("call")
	m := &metrics{
		calls:                scope.Counter("calls"),
		inboundCalls:         scope.Counter("gate_calls"),
		responses:            scope.Counter("answered"),
		broken:               scope.Counter("broken"),
		cancelled:            scope.Counter("cancelled"),
		retried:              scope.Counter("retried"),
		limitCalls:           scope.Counter("limit_calls"),
		limitKey:             scope.Counter("limit_key"),
		limitBody:            scope.Counter("limit_body"),
		limitHead:            scope.Counter("limit_head"),
		undelimitedResponses: scope.Counter("undelimited_answers"),
		crashedServers:       scope.Counter("crashed_servers"),
		releaseFailed:        scope.Counter("release_failed"),
		retainedResponses:    scope.Counter("kept_answers"),
		retainedTooLarge:     scope.Counter("kept_too_large"),
		untrustedHop:         scope.Counter("untrusted_hop"),
		panics:               scope.Counter("panics"),
		refusals:             make(map[result.Code]tally.Counter),
	}
	for _, entry := range result.Table() {
		m.refusals[entry.Code] = scope.Tagged(map[string]string{"code": strconv.Itoa(int(entry.Code))}).Counter("refused")
	}
	return m
}

// countRefusal counts a refusal that is sent to a caller.
func (m *metrics) countRefusal(code result.Code) {
	if counter, found := m.refusals[code]; found {
		counter.Inc(1)
	}
}
