package proxy

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// upstreamRequest is one request to a backend server.
type job struct {
	id      string
	route   string
	service string
	caller  string

	method string
	uri    string
	host   string
	header http.Header
	body   *exchange.Body

	idempotent bool
	priority   int
	// deadline is when the response must be sent, on the monotonic clock.
	deadline time.Time
	// due is when the response should be sent to meet the objective.
	due time.Time
	// late is set when the request can't meet its objective any more.
	late bool
	// maxWait is the longest predicted wait for a slot with which the request is queued.
	maxWait time.Duration
	// receivedAt is the time since boot, including suspensions, at which the request
	// was received, and timeout the time that it had left then.
	arrived time.Duration
	budget  time.Duration
}

// content returns the fingerprint of the method, the URI and the body.
func (j *job) content() crash.Fingerprint {
	return crash.Fingerprint(j.body.Fingerprint(j.method, j.host+j.uri))
}

// expired reports whether the deadline has passed, counting the time that the host
// was suspended.
func (j *job) expired(now time.Time) bool {
	return !now.Before(j.deadline) || sinceBoot()-j.arrived >= j.budget
}
