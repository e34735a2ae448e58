// Package relay distributes configuration from the readers of the store through
// relays to every node, repairs nodes that are behind and counts the nodes by
// the version that they have in force.
//
// It owns the subscription to the parent and the table of subscribers. When
// every reader and relay fails, nodes compare digests and fetch newer versions
// from each other.
package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Relay implements the role of one node in the distribution of configuration.
type Relay struct {
	options          Options
	applier          *updateApplier
	encoder          *updateEncoder
	metrics          *metrics
	connections      *connPool
	children         *subscriberTable
	server           *server
	subscription     *subscription
	storeReader      *storeReader
	repairer         *repairer
	readiness        *readiness
	aggregator       *aggregator
	fleetClient      *fleetClient
	statisticsClient *fleetClient
	lastMismatch     atomic.Pointer[mismatch]
	// stopping is closed when Run ends, which ends the subscriptions of children.
	stopping chan struct{}
}

// mismatch is a pair of different digests of one version.
type mismatch struct{ remote, local config.Digest }

// New returns a relay. Call Register before the gRPC server starts, then Run.
// An error names the first invalid option.
func New(options Options) (*Relay, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := &Relay{options: options, children: newSubscriberTable(), stopping: make(chan struct{})}
	r.metrics = newMetrics(options.Scope.SubScope("relay"))
	r.encoder = newUpdateEncoder(options.Holder)
	r.connections = newConnPool(options.Dialer, options.View, options.Traffic)
	r.applier = &updateApplier{holder: options.Holder, events: options.Events, logger: options.Logger, metrics: r.metrics, now: options.Now}
	r.readiness = newReadiness(r)
	r.repairer = newRepairer(r)
	r.aggregator = &aggregator{relay: r}
	r.subscription = &subscription{relay: r, avoidedUntil: make(map[string]time.Time)}
	r.storeReader = &storeReader{relay: r, restorer: storeRestorer{relay: r}}
	r.fleetClient = &fleetClient{relay: r}
	r.statisticsClient = &fleetClient{relay: r, statistics: true}
	r.server = &server{relay: r}
	return r, nil
}

// Register adds the Distribution service to a gRPC server.
func (r *Relay) Register(registrar grpc.ServiceRegistrar) {
	controlpb.RegisterDistributionServer(registrar, r.server)
}

// Run distributes configuration until the context ends. It is called once.
func (r *Relay) Run(ctx context.Context) error {
	defer r.connections.close()
	group, ctx := errgroup.WithContext(ctx)
	context.AfterFunc(ctx, func() { close(r.stopping) })
	for _, run := range []func(context.Context){r.subscription.run, r.storeReader.run, r.repairer.run, r.readiness.run} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Publish puts a snapshot in force that the store has just accepted through
// this node. The tree receives it without delay, because the node sends its new
// digest to its parent and its children.
func (r *Relay) Publish(snapshot *config.Snapshot) {
	r.applier.publish(snapshot, "an operator's change at this node")
}

// Observe records the digest that another node sent in a membership exchange. A
// node that stays behind fetches the newer version from the other node.
func (r *Relay) Observe(node string, digest config.Digest) {
	r.readiness.recordPeerVersion(node, digest.Version, false)
	r.repairer.observe(node, digest)
}

// Serving returns a channel that is closed once the node has the newest version
// of its peers in force and may serve calls.
func (r *Relay) Serving() <-chan struct{} { return r.readiness.ready }

// MayServe reports whether the node may serve calls.
func (r *Relay) MayServe() bool {
	select {
	case <-r.readiness.ready:
		return true
	default:
		return false
	}
}

// Parent returns the id of the node that this node is subscribed to; empty when
// there is none.
func (r *Relay) Parent() string { return r.subscription.parent() }

// Role returns the current role of the node.
func (r *Relay) Role() Role { return RoleOf(r.options.View(), r.options.Lease.Held()) }

// Subscribers returns the number of subscribed children.
func (r *Relay) Subscribers() int { return r.children.count() }

// Fleet returns the configuration state of the nodes of all regions. Reports of
// other regions are at most regionCacheTTL old; each of the two nodes that the
// response passes through adds at most mergedCacheTTL.
func (r *Relay) Fleet(ctx context.Context) *Fleet { return r.fleetClient.fleet(ctx) }

// FleetStatistics returns the encoded totals of the objective statistics over
// all regions; empty when there are none. The error says why the readers could
// not be reached.
func (r *Relay) FleetStatistics(ctx context.Context) ([]byte, error) {
	report, err := r.statisticsClient.mergedReport(ctx)
	return report.GetBurn(), err
}

// inOtherRegion reports whether a member is in another region than this node.
// It is false for a node that is not a member.
func (r *Relay) inOtherRegion(node string) bool {
	view := r.options.View()
	record, found := view.Node(node)
	return found && record.Region != view.Self.Region
}

// reportMismatch records that another node holds divergent content at the same
// version. Repetitions are only counted.
func (r *Relay) reportMismatch(node string, digest, held config.Digest) {
	r.metrics.hashMismatches.Inc(1)
	observed := mismatch{remote: digest, local: held}
	if previous := r.lastMismatch.Swap(&observed); previous != nil && *previous == observed {
		return
	}
	message := fmt.Sprintf("the content of version %d (%016x) differs from that of node %s (%016x)", held.Version, held.Hash, node, digest.Hash)
	r.options.Logger.Error(message)
	r.options.Events.Record(event.Event{Kind: event.KindConfig, Subject: formatVersion(held.Version), Message: message, Code: result.DocumentInvalid})
}

// isStoreReader reports whether this node is the reader in the region of the
// store.
func (r *Relay) isStoreReader() bool {
	return r.options.Lease.Held() && r.options.View().Self.Region == r.options.StoreRegion
}
