package registry

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/freshness"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Deps are the dependencies of a Registry. All but Freshness are required.
type Deps struct {
	Store Store
	// Decode decodes the operators' configuration.
	Decode func([]byte) (*routing.Table, error)
	Routes *routing.Holder
	Fleet  *fleet.Table
	// Freshness holds since when the configuration in force is known to be the newest; nil
	// where nothing depends on it.
	Freshness *freshness.Tracker
	// PeerClient sends the queries to peers.
	PeerClient *http.Client
	// LeaderClient sends the long polls to the leader that this node follows; it
	// should keep connections alive.
	LeaderClient *http.Client
	Log          *logrus.Entry
	Scope        tally.Scope
	Now          func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	// OnPrevious is called with an entry that an earlier process of this node left
	// behind.
	OnPrevious func(fleet.Entry)
	// OnReached is called when a suspected node has responded.
	OnReached func(node string)
}
