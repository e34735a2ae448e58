package proxy

import (
	"net/http"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// job is one request on its way to a server.
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
	// deadline is when the request must be answered, on the steady clock.
	deadline time.Time
	// due is when the request should be answered to meet its objective.
	due time.Time
	// late is set when the objective can't be met any more.
	late bool
	// maxWait is the longest predicted wait for a slot that is worth it.
	maxWait time.Duration
	// arrived is the reading of the clock that counts suspensions at the time when
	// the request arrived, and budget the time that it had then.
	arrived time.Duration
	budget  time.Duration
}

// content returns the fingerprint of what a server would run.
func (j *job) content() crash.Fingerprint {
	return crash.Fingerprint(j.body.Fingerprint(j.method, j.host+j.uri))
}

// expired reports whether the deadline has passed, also while the host was
// suspended.
func (j *job) expired(now time.Time) bool {
	return !now.Before(j.deadline) || sinceBoot()-j.arrived >= j.budget
}
