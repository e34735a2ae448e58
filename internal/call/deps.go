package call

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/admit"
	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/claim"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/drain"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/route"
)

// Snapshots provides the configuration in force; Load returns nil before the
// first one is received.
type Snapshots interface {
	Load() *config.Snapshot
}

// Policy decides whether a failed attempt is retried. The outbound proxy itself
// rules out retries that could run a non-idempotent call twice or whose body is
// no longer available, so a policy only limits the number and rate of retries.
type Policy interface {
	// RecordFirstAttempt counts the first attempt of a call.
	RecordFirstAttempt()
	// AllowRetry reports whether the failed attempt may be retried, and counts
	// the retry if so.
	AllowRetry(failure Failure) bool
}

// RetainedResponses stores responses to non-idempotent calls for repeats with
// the same idempotency key. The implementation bounds their size and age.
type RetainedResponses interface {
	// Retain stores a complete response.
	Retain(service, key string, fingerprint uint64, status int, header http.Header, body []byte)
	// Lookup returns the retained response to the call with the key; ok is
	// false when there is none. It is used only after a claim has shown that
	// the fingerprint belongs to the call.
	Lookup(service, key string, fingerprint uint64) (status int, header http.Header, body []byte, ok bool)
}

// Quarantine tracks the calls that crash backend servers.
type Quarantine interface {
	// IsBlocked reports whether calls with the fingerprint are refused.
	IsBlocked(service string, fingerprint uint64) bool
	// RecordCrash records that a backend server refused connections after it
	// received the call.
	RecordCrash(service string, fingerprint uint64)
}

// Deps holds the dependencies of a Node. All of them are required.
type Deps struct {
	Snapshots  Snapshots
	View       func() *member.View
	Chooser    route.Chooser
	Policy     Policy
	Admission  admit.Admitter
	Claimer    claim.Claimer
	Retained   RetainedResponses
	Quarantine Quarantine
	Server     *drain.Tracker
	Burn       burn.Recorder
	Events     event.Recorder
	Scope      tally.Scope
	Logger     *logrus.Entry
	Dialer     dial.Dialer
	Now        func() time.Time
}
