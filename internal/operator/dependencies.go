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

// Editor changes the stored configuration.
type Editor interface {
	Apply(ctx context.Context, change config.Change) (config.Outcome, error)
	Preview(ctx context.Context, change config.Change) (before, after *config.Snapshot, err error)
	Lookup(ctx context.Context, changeID string) (version uint64, accepted bool, err error)
}

// Fleet knows what the fleet has in force and how it meets its objectives.
type Fleet interface {
	Status(ctx context.Context) (FleetStatus, error)
	Burn(ctx context.Context) (burn.Report, error)
}

// Dependencies are what the API answers from. All of them are required.
type Dependencies struct {
	Editor Editor
	Fleet  Fleet
	// StoreRegion is the region in which the store runs.
	StoreRegion string
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// OnAccepted is told each snapshot that this node's operators made.
	OnAccepted func(*config.Snapshot)
	View       func() *member.View
	// HostReport describes the node itself.
	HostReport func() HostReport
	Events     *event.Ring
	Metrics    http.Handler
	Dialer     dial.Dialer
	Scope      tally.Scope
}
