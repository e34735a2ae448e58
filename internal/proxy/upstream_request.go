package proxy

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// upstreamRequest is one request to a backend server.
type upstreamRequest struct {
	id      string
	route   string
	service string
	caller  string
	// workspace is the name of the workspace whose key the request carried; empty for
	// none.
	workspace string

	method string
	uri    string
	host   string
	header http.Header
	body   *exchange.Body
	// bufferedBytes is the part of the node's buffer budget that body holds.
	bufferedBytes int64

	idempotent bool
	priority   int
	// deadline is when the response must be sent, on the monotonic clock.
	deadline time.Time
	// due is when the response should be sent to meet the objective.
	due time.Time
	// late is set when the request can't meet its objective any more.
	late bool
	// maxWait is the predicted wait for a slot above which the request is refused
	// instead of queued.
	maxWait time.Duration
	// receivedAt is the time since boot, including suspensions, at which the request
	// was received, and timeout the time that it had left then.
	receivedAt time.Duration
	timeout    time.Duration
}

// content returns the fingerprint of the method, the URI and the body.
func (r *upstreamRequest) content() crash.Fingerprint {
	return crash.Fingerprint(r.body.Fingerprint(r.method, r.host+r.uri))
}

// expired reports whether the deadline has passed, counting the time that the host
// was suspended.
func (r *upstreamRequest) expired(now time.Time) bool {
	return !now.Before(r.deadline) || boottime.Now()-r.receivedAt >= r.timeout
}
