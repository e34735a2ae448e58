package operator

import (
	"context"
	"net/http"

	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// Editor reads and changes the stored configuration.
type Editor interface {
	Apply(ctx context.Context, change config.Change) (config.Outcome, error)
	Preview(ctx context.Context, change config.Change) (before, after *config.Snapshot, err error)
	Lookup(ctx context.Context, changeID string) (version uint64, accepted bool, err error)
}

// Fleet reports which versions the fleet has in force and how it meets its
// objectives.
type Fleet interface {
	Status(ctx context.Context) (FleetStatus, error)
	Burn(ctx context.Context) (burn.Report, error)
}

// Dependencies holds the data sources and collaborators of the API. All of them
// are required.
type Dependencies struct {
	Editor Editor
	Fleet  Fleet
	// StoreRegion is the region in which the store runs.
	StoreRegion string
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// OnAccepted is called with each snapshot that a change on this node created.
	OnAccepted func(*config.Snapshot)
	View       func() *member.View
	// HostReport returns the report about this node.
	HostReport func() HostReport
	Events     *event.Ring
	Metrics    http.Handler
	Dialer     dial.Dialer
	Scope      tally.Scope
}
