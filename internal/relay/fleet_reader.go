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
	// fleetCacheTime is how long the sum of another region serves all viewers.
	fleetCacheTime = 200 * time.Millisecond
	// viewerCacheTime is how long an answer serves the viewers of one node. The
	// sum of a reader is cheap, and whoever waits for a change sees it sooner.
	viewerCacheTime = 50 * time.Millisecond
	// fleetTimeout bounds one question to a reader.
	fleetTimeout = time.Second
	// scopeHeader is the gRPC metadata key that limits a question to the
	// receiver's own region.
	scopeHeader = "rosemaryladder-scope"
	scopeRegion = "region"
	// contentHeader is the gRPC metadata key that asks for the statistics.
	contentHeader     = "rosemaryladder-content"
	contentStatistics = "statistics"
)

// fleetReader asks the readers for the state of the fleet.
type fleetReader struct {
	relay *Relay
	// statistics asks for the objective statistics as well.
	statistics bool

	whole answerCache

	mu sync.Mutex
	// regions keeps the answers of other regions.
	regions map[string]*answerCache
}

// read returns the state of the fleet as this node's membership expects it.
// While no reader answers, it covers only the node and those below it.
func (f *fleetReader) read(ctx context.Context) *Fleet {
	report, err := f.report(ctx)
	if err != nil {
		report = f.sum()
	}
	fleet := NewFleet(report, f.relay.options.View())
	if err != nil {
		fleet.PartialReason = err.Error()
	}
	return fleet
}

// sum returns the report that covers the node and its children.
func (f *fleetReader) sum() *controlpb.Report {
	report := f.relay.reporter.sum()
	if f.statistics {
		report.Burn = f.relay.reporter.statistics()
	}
	return report
}

// report returns the sum over all regions.
func (f *fleetReader) report(ctx context.Context) (*controlpb.Report, error) {
	return f.whole.get(ctx, f.relay.options.Now(), viewerCacheTime, f.ask)
}

// ask returns the sum of the node's reader, or as the reader itself the sum of
// all regions. A region that does not answer is missing in the sum.
func (f *fleetReader) ask(ctx context.Context) (*controlpb.Report, error) {
	view := f.relay.options.View()
	if !f.relay.options.Lease.Held() {
		return f.askReader(ctx, view.Self.Region, "")
	}
	regions := otherRegions(view, view.Self.Region)
	reports := make([]*controlpb.Report, len(regions)+1)
	var group sync.WaitGroup
	for i, region := range regions {
		group.Go(func() {
			reports[i], _ = f.region(ctx, region)
		})
	}
	reports[len(regions)] = f.sum()
	group.Wait()
	merged := MergeReports(reports...)
	merged.Burn = f.relay.reporter.mergeStatistics(reports...)
	return merged, nil
}

// region returns the sum of another region. It is kept longer, because it
// crosses the paid link.
func (f *fleetReader) region(ctx context.Context, region string) (*controlpb.Report, error) {
	return f.cacheOf(region).get(ctx, f.relay.options.Now(), fleetCacheTime, func(ctx context.Context) (*controlpb.Report, error) {
		return f.askReader(ctx, region, scopeRegion)
	})
}

func (f *fleetReader) cacheOf(region string) *answerCache {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.regions == nil {
		f.regions = make(map[string]*answerCache)
	}
	if f.regions[region] == nil {
		f.regions[region] = &answerCache{}
	}
	return f.regions[region]
}

// askReader asks the readers of a region in turn.
func (f *fleetReader) askReader(ctx context.Context, region, scope string) (*controlpb.Report, error) {
	view := f.relay.options.View()
	err := error(result.Errorf(result.NodeUnreachable, "region %q has no reader at present", region))
	for _, reader := range without(Readers(view, region), view.Self.ID) {
		var report *controlpb.Report
		if report, err = f.askNode(ctx, reader, scope); err == nil {
			return report, nil
		}
	}
	return nil, err
}

func (f *fleetReader) askNode(ctx context.Context, node, scope string) (*controlpb.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
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
