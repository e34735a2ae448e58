package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/metadata"

	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// regionCacheTTL is how long the report of another region is reused for all
	// clients.
	regionCacheTTL = 200 * time.Millisecond
	// mergedCacheTTL is how long a response is reused for the clients of one
	// node. Requests to a reader within the region are cheap, and a short time
	// shows a change sooner to whoever waits for it.
	mergedCacheTTL = 50 * time.Millisecond
	// fleetRequestTimeout is the time limit for one request to a reader.
	fleetRequestTimeout = time.Second
	// scopeHeader is the gRPC metadata key that limits a request to the region
	// of the receiver.
	scopeHeader = "rosemaryladder-scope"
	scopeRegion = "region"
	// contentHeader is the gRPC metadata key that requests the objective
	// statistics.
	contentHeader     = "rosemaryladder-content"
	contentStatistics = "statistics"
)

// fleetClient requests the state of the fleet from the readers.
type fleetClient struct {
	relay *Relay
	// statistics requests the objective statistics as well.
	statistics bool

	mergedCache reportCache

	mu sync.Mutex
	// regionCaches holds the reports of other regions.
	regionCaches map[string]*reportCache
}

// fleet returns the state of the fleet, compared with the membership view of this
// node. When no reader responds, it covers only this node and its
// descendants in the tree.
func (f *fleetClient) fleet(ctx context.Context) *Fleet {
	report, err := f.mergedReport(ctx)
	if err != nil {
		report = f.localReport()
	}
	fleet := NewFleet(report, f.relay.options.View())
	if err != nil {
		fleet.PartialReason = err.Error()
	}
	return fleet
}

// localReport returns the report that covers this node and its descendants.
func (f *fleetClient) localReport() *controlpb.Report {
	report := f.relay.aggregator.report()
	if f.statistics {
		report.Burn = f.relay.aggregator.statistics()
	}
	return report
}

// mergedReport returns the report over all regions.
func (f *fleetClient) mergedReport(ctx context.Context) (*controlpb.Report, error) {
	return f.mergedCache.get(ctx, f.relay.options.Now(), mergedCacheTTL, f.collectReports)
}

// collectReports requests the merged report from the reader of this node's
// region. On the reader itself it merges the reports of all regions; a region
// that does not respond is left out.
func (f *fleetClient) collectReports(ctx context.Context) (*controlpb.Report, error) {
	view := f.relay.options.View()
	if !f.relay.options.Lease.Held() {
		return f.requestFromReaders(ctx, view.Self.Region, "")
	}
	regions := otherRegions(view, view.Self.Region)
	reports := make([]*controlpb.Report, len(regions)+1)
	var group sync.WaitGroup
	for i, region := range regions {
		group.Go(func() {
			var err error
			if reports[i], err = f.regionReport(ctx, region); err != nil {
				f.relay.options.Logger.WithError(err).WithField("region", region).Debug("region left out of the fleet report")
			}
		})
	}
	reports[len(regions)] = f.localReport()
	group.Wait()
	merged := MergeReports(reports...)
	merged.Burn = f.relay.aggregator.mergeStatistics(reports...)
	return merged, nil
}

// regionReport returns the report of another region. It is cached for longer,
// because it crosses the paid link.
func (f *fleetClient) regionReport(ctx context.Context, region string) (*controlpb.Report, error) {
	return f.regionCache(region).get(ctx, f.relay.options.Now(), regionCacheTTL, func(ctx context.Context) (*controlpb.Report, error) {
		return f.requestFromReaders(ctx, region, scopeRegion)
	})
}

func (f *fleetClient) regionCache(region string) *reportCache {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.regionCaches == nil {
		f.regionCaches = make(map[string]*reportCache)
	}
	if f.regionCaches[region] == nil {
		f.regionCaches[region] = &reportCache{}
	}
	return f.regionCaches[region]
}

// requestFromReaders tries the readers of a region in turn.
func (f *fleetClient) requestFromReaders(ctx context.Context, region, scope string) (*controlpb.Report, error) {
	view := f.relay.options.View()
	err := error(result.Errorf(result.NodeUnreachable, "region %q has no reader at present", region))
	for _, reader := range exclude(Readers(view, region), view.Self.ID) {
		var report *controlpb.Report
		if report, err = f.requestFromNode(ctx, reader, scope); err == nil {
			return report, nil
		}
	}
	return nil, err
}

func (f *fleetClient) requestFromNode(ctx context.Context, node, scope string) (*controlpb.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetRequestTimeout)
	defer cancel()
	if scope != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, scopeHeader, scope)
	}
	if f.statistics {
		ctx = metadata.AppendToOutgoingContext(ctx, contentHeader, contentStatistics)
	}
	conn, release, err := f.relay.connections.shared(node)
	if err != nil {
		return nil, err
	}
	defer release()
	report, err := controlpb.NewDistributionClient(conn).FleetStatus(ctx, &controlpb.FleetStatusRequest{})
	if err != nil {
		return nil, result.Wrap(err, result.NodeUnreachable, "request the fleet status from reader %q", node)
	}
	return report, nil
}
