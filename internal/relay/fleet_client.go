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
	// regionCacheTTL is how long the sum of another region serves all viewers.
	regionCacheTTL = 200 * time.Millisecond
	// mergedCacheTTL is how long an answer serves the viewers of one node. The
	// sum of a reader is cheap, and whoever waits for a change sees it sooner.
	mergedCacheTTL = 50 * time.Millisecond
	// fleetRequestTimeout bounds one question to a reader.
	fleetRequestTimeout = time.Second
	// scopeHeader is the gRPC metadata key that limits a question to the
	// receiver's own region.
	scopeHeader = "rosemaryladder-scope"
	scopeRegion = "region"
	// contentHeader is the gRPC metadata key that asks for the statistics.
	contentHeader     = "rosemaryladder-content"
	contentStatistics = "statistics"
)

// fleetClient asks the readers for the state of the fleet.
type fleetClient struct {
	relay *Relay
	// statistics asks for the objective statistics as well.
	statistics bool

	mergedCache reportCache

	mu sync.Mutex
	// regionCaches keeps the answers of other regionCaches.
	regionCaches map[string]*reportCache
}

// fleet returns the state of the fleet as this node's membership expects it.
// While no reader answers, it covers only the node and those below it.
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

// localReport returns the report that covers the node and its children.
func (f *fleetClient) localReport() *controlpb.Report {
	report := f.relay.aggregator.report()
	if f.statistics {
		report.Burn = f.relay.aggregator.statistics()
	}
	return report
}

// mergedReport returns the sum over all regions.
func (f *fleetClient) mergedReport(ctx context.Context) (*controlpb.Report, error) {
	return f.mergedCache.get(ctx, f.relay.options.Now(), mergedCacheTTL, f.collectReports)
}

// collectReports returns the sum of the node's reader, or as the reader itself the sum of
// all regions. A region that does not answer is missing in the sum.
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
			reports[i], _ = f.regionReport(ctx, region)
		})
	}
	reports[len(regions)] = f.localReport()
	group.Wait()
	merged := MergeReports(reports...)
	merged.Burn = f.relay.aggregator.mergeStatistics(reports...)
	return merged, nil
}

// regionReport returns the sum of another regionReport. It is kept longer, because it
// crosses the paid link.
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

// requestFromReaders asks the readers of a region in turn.
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
	conn, err := f.relay.connections.shared(node)
	if err != nil {
		return nil, err
	}
	report, err := controlpb.NewDistributionClient(conn).FleetStatus(ctx, &controlpb.FleetStatusRequest{})
	if err != nil {
		return nil, result.Wrap(err, result.NodeUnreachable, "ask reader %q", node)
	}
	return report, nil
}
