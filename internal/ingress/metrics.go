package ingress

import "github.com/uber-go/tally/v4"

// metrics counts connections and requests.
type metrics struct {
	requests, pipelined, rejected, left, aborted, panics tally.Counter
	// idleClosed counts the connections that the server closed without a request: as
	// idle, at its end or to make room for others.
	idleClosed tally.Counter
	// expired counts the connections that were ended to make room for others, and
	// refusedConns those that found no room.
	expired, refusedConns tally.Counter
	// discardedBytes counts the bytes that arrived behind the last response of a
	// connection and were read without being handled.
	discardedBytes tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		requests:  scope.Counter("requests"),
		pipelined: scope.Counter("pipelined"),
		rejected:  scope.Counter("rejected"),
		left:      scope.Counter("callers_left"),
		aborted:   scope.Counter("aborted"),
		panics:    scope.Counter("panics"),

		idleClosed:     scope.Counter("idle_closed"),
		expired:        scope.Counter("expired_connections"),
		refusedConns:   scope.Counter("refused_connections"),
		discardedBytes: scope.Counter("discarded_bytes"),
	}
}
