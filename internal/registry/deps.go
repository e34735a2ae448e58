package registry

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// Deps are the parts that a Registry works with. All of them are required.
type Deps struct {
	Store Store
	// Decode reads a configuration as the operators write it.
	Decode func([]byte) (*routing.Table, error)
	Routes *routing.Holder
	Fleet  *fleet.Table
	// PeerClient sends the questions to peers.
	PeerClient *http.Client
	// LeaderClient keeps the connection to the node that this one follows.
	LeaderClient *http.Client
	Log          *logrus.Entry
	Scope        tally.Scope
	Now          func() time.Time
	// Random returns a number from 0 to 1.
	Random func() float64
	// OnReached is called when a suspected node answered.
	OnReached func(node string)
}
