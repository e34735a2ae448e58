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

// Relay is the part of a node in the distribution of configuration.
type Relay struct {
	options      Options
	inbox        *inbox
	outbox       *outbox
	counters     *counters
	connections  *connections
	children     *subscribers
	server       *server
	subscription *subscription
	storeReader  *storeReader
	repairer     *repairer
	readiness    *readiness
	reporter     *reporter
	fleet        *fleetReader
	statistics   *fleetReader
	lastMismatch atomic.Pointer[mismatch]
}

// mismatch is a pair of digests of one version.
type mismatch struct{ theirs, ours config.Digest }

// New returns a relay. Register it before the gRPC server starts, then Run it.
func New(options Options) (*Relay, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	r := &Relay{options: options, children: newSubscribers()}
	r.counters = newCounters(options.Scope.SubScope("relay"))
	r.outbox = newOutbox(options.Holder)
	r.connections = newConnections(options.Dialer, options.View, options.Traffic)
	r.inbox = &inbox{holder: options.Holder, events: options.Events, logger: options.Logger, counters: r.counters, now: options.Now}
	r.readiness = newReadiness(r)
	r.repairer = newRepairer(r)
	r.reporter = &reporter{relay: r}
	r.subscription = &subscription{relay: r, avoided: make(map[string]time.Time)}
	r.storeReader = &storeReader{relay: r}
	r.fleet = &fleetReader{relay: r}
	r.statistics = &fleetReader{relay: r, statistics: true}
	r.server = &server{relay: r}
	return r, nil
}

// Register adds the Distribution service to a gRPC server.
func (r *Relay) Register(registrar grpc.ServiceRegistrar) {
	controlpb.RegisterDistributionServer(registrar, r.server)
}

// Run distributes until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	defer r.connections.close()
	group, ctx := errgroup.WithContext(ctx)
	for _, run := range []func(context.Context){r.subscription.run, r.storeReader.run, r.repairer.run, r.readiness.run} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Publish puts a snapshot in force that the store has just accepted through
// this node. The tree learns of it at once, because the node names its new
// version to its parent and its children.
func (r *Relay) Publish(snapshot *config.Snapshot) {
	r.inbox.publish(snapshot, "an operator's change at this node")
}

// Observe takes the digest that another node named in a membership exchange. A
// node that stays behind fetches from the one ahead.
func (r *Relay) Observe(node string, digest config.Digest) {
	r.readiness.peerNamed(node, digest.Version, false)
	r.repairer.observe(node, digest)
}

// Serving returns a channel that is closed once the node knows the newest
// version of its peers and may serve calls.
func (r *Relay) Serving() <-chan struct{} { return r.readiness.done }

// MayServe reports whether the node may serve calls.
func (r *Relay) MayServe() bool {
	select {
	case <-r.readiness.done:
		return true
	default:
		return false
	}
}

// Parent returns the id of the node that this node is subscribed to; empty when
// there is none.
func (r *Relay) Parent() string { return r.subscription.parent() }

// Role returns the present role of the node.
func (r *Relay) Role() Role { return RoleOf(r.options.View(), r.options.Lease.Held()) }

// Subscribers returns the number of children.
func (r *Relay) Subscribers() int { return r.children.count() }

// Fleet returns what the nodes of all regions have in force. The answer is at
// most fleetCacheTime old for another region and viewerCacheTime at each of the
// two nodes it passes.
func (r *Relay) Fleet(ctx context.Context) *Fleet { return r.fleet.read(ctx) }

// FleetStatistics returns the objective statistics summed over all regions.
func (r *Relay) FleetStatistics(ctx context.Context) ([]byte, error) {
	report, err := r.statistics.report(ctx)
	return report.GetBurn(), err
}

// inOtherRegion reports whether a member is in another region than this node.
func (r *Relay) inOtherRegion(node string) bool {
	view := r.options.View()
	record, found := view.Node(node)
	return found && record.Region != view.Self.Region
}

// reportMismatch records that another node holds other content at the same
// version. Repetitions are counted only.
func (r *Relay) reportMismatch(node string, digest, held config.Digest) {
	r.counters.mismatches.Inc(1)
	seen := mismatch{theirs: digest, ours: held}
	if previous := r.lastMismatch.Swap(&seen); previous != nil && *previous == seen {
		return
	}
	message := fmt.Sprintf("the content of version %d (%016x) differs from that of node %s (%016x)", held.Version, held.Hash, node, digest.Hash)
	r.options.Logger.Error(message)
	r.options.Events.Record(event.Event{Kind: event.KindConfig, Subject: versionText(held.Version), Message: message, Code: result.DocumentInvalid})
}

// readsStore reports whether the node is the reader in the store's region.
func (r *Relay) readsStore() bool {
	return r.options.Lease.Held() && r.options.View().Self.Region == r.options.StoreRegion
}
