package call

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// metrics are the counters of the call path. Each bound has one.
type metrics struct {
	calls         tally.Counter
	gateCalls     tally.Counter
	answered      tally.Counter
	broken        tally.Counter
	cancelled     tally.Counter
	retried       tally.Counter
	limitCalls    tally.Counter
	limitKey      tally.Counter
	limitBody     tally.Counter
	limitHead     tally.Counter
	undelimited   tally.Counter
	crashed       tally.Counter
	releaseFailed tally.Counter
	keptAnswers   tally.Counter
	keptTooLarge  tally.Counter
	untrustedHop  tally.Counter
	panics        tally.Counter
	refused       map[result.Code]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("call")
	m := &metrics{
		calls:         scope.Counter("calls"),
		gateCalls:     scope.Counter("gate_calls"),
		answered:      scope.Counter("answered"),
		broken:        scope.Counter("broken"),
		cancelled:     scope.Counter("cancelled"),
		retried:       scope.Counter("retried"),
		limitCalls:    scope.Counter("limit_calls"),
		limitKey:      scope.Counter("limit_key"),
		limitBody:     scope.Counter("limit_body"),
		limitHead:     scope.Counter("limit_head"),
		undelimited:   scope.Counter("undelimited_answers"),
		crashed:       scope.Counter("crashed_servers"),
		releaseFailed: scope.Counter("release_failed"),
		keptAnswers:   scope.Counter("kept_answers"),
		keptTooLarge:  scope.Counter("kept_too_large"),
		untrustedHop:  scope.Counter("untrusted_hop"),
		panics:        scope.Counter("panics"),
		refused:       make(map[result.Code]tally.Counter),
	}
	for _, entry := range result.Table() {
		m.refused[entry.Code] = scope.Tagged(map[string]string{"code": strconv.Itoa(int(entry.Code))}).Counter("refused")
	}
	return m
}

// countRefusal counts a refusal that a caller gets.
func (m *metrics) countRefusal(code result.Code) {
	if counter, found := m.refused[code]; found {
		counter.Inc(1)
	}
}
