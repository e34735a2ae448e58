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

// maxBatch is the longest time that a reader may collect changes.
const maxBatch = time.Second

// Options are the parts that the distribution works with. All are required
// except Statistics.
type Options struct {
	// StoreRegion is the region in which the store runs.
	StoreRegion string
	// BatchDelay is how long the reader of the store collects changes before it
	// pushes them; 0 to 1 s.
	BatchDelay time.Duration
	// Holder publishes the snapshot in force.
	Holder *config.Holder
	// View returns the membership. Its Self record names the node.
	View func() *member.View
	// Lease is the reader lease of the node's region.
	Lease ReaderLease
	// Store holds the document.
	Store store.Client
	// Dialer opens connections to other nodes.
	Dialer dial.Dialer
	// Events receives the events for explain.
	Events event.Recorder
	// Logger receives changes of state.
	Logger *logrus.Entry
	// Scope receives the counters.
	Scope tally.Scope
	// Traffic counts messages and bytes; see NewTraffic.
	Traffic stats.Handler
	// Statistics are summed up the tree; nil for none.
	Statistics Statistics
	// Now returns the time.
	Now func() time.Time
	// Random returns a number in [0, 1). It is called concurrently.
	Random func() float64
}

// Statistics are the objective statistics of a node.
type Statistics interface {
	// Encode returns the statistics of the node itself.
	Encode() []byte
	// Merge returns the sum of encoded statistics.
	Merge(encoded [][]byte) ([]byte, error)
}

// Validate returns an error that names the first invalid option.
func (o *Options) Validate() error {
	if o.BatchDelay < 0 || o.BatchDelay > maxBatch {
		return result.Errorf(result.SettingsInvalid, "batch %s must be from 0s to %s", o.BatchDelay, maxBatch)
	}
	if o.StoreRegion == "" {
		return result.Errorf(result.SettingsInvalid, "the region of the store is missing")
	}
	return nil
}
