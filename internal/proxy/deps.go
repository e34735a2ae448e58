package proxy

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/balance"
	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/instance"
	"rosemaryladder.dev/rosemaryladder/internal/ratelimit"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
)

// Deps are the dependencies of a Proxy. All of them are required.
type Deps struct {
	Headers  HeaderNames
	Routes   *routing.Holder
	View     func() *fleet.View
	Balancer *balance.Balancer
	Server   *instance.Tracker
	Slots    *slots.Controller
	// Crashes records the content of requests that crash the local server.
	Crashes *crash.Record
	// CrashesChanged is called after a change of Crashes.
	CrashesChanged func()
	Dial           exchange.DialFunc
	Scope          tally.Scope
	Log            *logrus.Entry
	// NewerVersion is called when another node holds a newer configuration.
	NewerVersion func(routing.Version)
	// KeysConfirmed reports whether the keys of a version may still be accepted.
	KeysConfirmed func(routing.Version) bool
	// Limiter decides on the requests of workspaces with a rate limit.
	Limiter *ratelimit.Limiter
	// Suspect is called when a node is unreachable.
	Suspect func(fleet.Entry)
	// ServerLost is called when the local server accepts no connections.
	ServerLost func(server string)
	// ServerLeaves is called when a response says that its server leaves. startTime is
	// that of the server's run, 0 when unknown.
	ServerLeaves func(server string, startTime int64)
	Now          func() time.Time
	// Random returns a random number in [0, 1).
	Random func() float64
}
