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
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
)

// Deps are the parts that a front and a gate work with. All of them are required.
type Deps struct {
	Headers  HeaderNames
	Routes   *routing.Holder
	View     func() *fleet.View
	Balancer *balance.Balancer
	Server   *instance.Tracker
	Slots    *slots.Controller
	// Crashes records which content ends the server beside the node.
	Crashes *crash.Record
	// CrashesChanged is called when that record has changed.
	CrashesChanged func()
	Dial           exchange.DialFunc
	Scope          tally.Scope
	Log            *logrus.Entry
	// NewerVersion is called when a peer holds a newer configuration.
	NewerVersion func(routing.Version)
	// Suspect is called when a node could not be reached.
	Suspect func(fleet.Entry)
	// ServerLost is called when the server beside the node takes no connections.
	ServerLost func(server string)
	Now        func() time.Time
	// Random returns a number from 0 to 1.
	Random func() float64
}
