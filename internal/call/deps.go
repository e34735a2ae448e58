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

// Snapshots gives the configuration in force; nil before the first one.
type Snapshots interface {
	Load() *config.Snapshot
}

// Policy decides whether a failed attempt is followed by another. The front
// itself rules out every attempt that could run a non-idempotent call twice or
// that has no body to send, so a policy only limits the number and the rate.
type Policy interface {
	// RecordFirstAttempt counts a first attempt.
	RecordFirstAttempt()
	// AllowRetry reports whether another attempt may follow the failure, and counts it.
	AllowRetry(failure Failure) bool
}

// RetainedResponses keeps the answers of non-idempotent calls for repeats of the same
// key. The implementation bounds their size and age.
type RetainedResponses interface {
	// Retain stores a whole answer.
	Retain(service, key string, fingerprint uint64, status int, header http.Header, body []byte)
	// Lookup returns the answer of the call with the key. It is asked only after a
	// claim has shown that the fingerprint is that of the call.
	Lookup(service, key string, fingerprint uint64) (status int, header http.Header, body []byte, ok bool)
}

// Quarantine knows the calls that crash backend servers.
type Quarantine interface {
	// IsBlocked reports whether calls with the fingerprint are refused.
	IsBlocked(service string, fingerprint uint64) bool
	// RecordCrash counts a backend server that was gone after running the call.
	RecordCrash(service string, fingerprint uint64)
}

// Deps are the parts that a Node works with. All of them are required.
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
