package relay

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/stats"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/store"
)

// maxBatchDelay is the longest time for which a reader may collect changes.
const maxBatchDelay = time.Second

// Options are the dependencies and settings of the configuration distribution.
// All are required except Statistics.
type Options struct {
	// StoreRegion is the region in which the store runs.
	StoreRegion string
	// BatchDelay is how long the reader of the store collects changes before it
	// pushes them; 0 to 1 s.
	BatchDelay time.Duration
	// Holder publishes the snapshot in force.
	Holder *config.Holder
	// View returns the membership. Its Self record is the local node.
	View func() *member.View
	// Lease is the reader lease of the region of this node.
	Lease ReaderLease
	// Store holds the configuration document.
	Store store.Client
	// Dialer opens connections to other nodes.
	Dialer dial.Dialer
	// Events receives the events that the explain command shows.
	Events event.Recorder
	// Logger receives state changes.
	Logger *logrus.Entry
	// Scope receives the metrics.
	Scope tally.Scope
	// Traffic counts messages and bytes; see NewTraffic.
	Traffic stats.Handler
	// Statistics are aggregated up the tree; nil for none.
	Statistics Statistics
	// Now returns the time.
	Now func() time.Time
	// Random returns a number in [0, 1). It must be safe for concurrent use.
	Random func() float64
}

// Statistics are the objective statistics of a node.
type Statistics interface {
	// Encode returns the statistics of this node only.
	Encode() []byte
	// Merge returns the totals of encoded statistics.
	Merge(encoded [][]byte) ([]byte, error)
}

// Validate returns an error that names the first invalid option.
func (o *Options) Validate() error {
	if o.BatchDelay < 0 || o.BatchDelay > maxBatchDelay {
		return result.Errorf(result.SettingsInvalid, "batch %s must be from 0s to %s", o.BatchDelay, maxBatchDelay)
	}
	if o.StoreRegion == "" {
		return result.Errorf(result.SettingsInvalid, "the region of the store is missing")
	}
	return nil
}
