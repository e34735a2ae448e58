package store

import (
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

// callKind names a kind of store call in the metrics.
type callKind string

const (
	callGet            callKind = "get"
	callGetNewer       callKind = "get_newer"
	callWatch          callKind = "watch"
	callCompareAndSwap callKind = "compare_and_swap"
	callGrant          callKind = "grant"
	callKeepAlive      callKind = "keep_alive"
	callRevoke         callKind = "revoke"
)

// callCounters counts the calls of one kind and those without a response.
type callCounters struct {
	calls    tally.Counter
	failures tally.Counter
}

func newCallCounters(scope tally.Scope) map[callKind]callCounters {
	counters := make(map[callKind]callCounters)
	kinds := []callKind{
		callGet, callGetNewer, callWatch, callCompareAndSwap, callGrant, callKeepAlive, callRevoke,
	}
	for _, kind := range kinds {
		tagged := scope.Tagged(map[string]string{"kind": string(kind)})
		counters[kind] = callCounters{calls: tagged.Counter("calls"), failures: tagged.Counter("failures")}
	}
	return counters
}

// count counts one call and returns its error.
func (c callCounters) count(err error) error {
	c.calls.Inc(1)
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrNotSent) {
		c.failures.Inc(1)
	}
	return err
}
