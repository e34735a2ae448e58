package burn

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// CollectInterval is the period of collections and of reports to the parent.
const CollectInterval = 10 * time.Second

// Collector periodically sets the calls of its node as one part of the
// aggregator, beside the parts of the child nodes.
type Collector struct {
	recorder   *WindowRecorder
	aggregator *Aggregator
	node       string
	now        func() time.Time
	dropped    tally.Gauge
	rejected   tally.Gauge
	rows       tally.Gauge
}

// NewCollector returns a collector for the named node. Its metrics go to the
// sub-scope "burn".
func NewCollector(recorder *WindowRecorder, aggregator *Aggregator, node string, scope tally.Scope, now func() time.Time) *Collector {
	scope = scope.SubScope("burn")
	return &Collector{
		recorder:   recorder,
		aggregator: aggregator,
		node:       node,
		now:        now,
		dropped:    scope.Gauge("dropped_calls"),
		rejected:   scope.Gauge("refused_reports"),
		rows:       scope.Gauge("rows"),
	}
}

// Run collects at once and then every CollectInterval until the context ends.
func (c *Collector) Run(ctx context.Context) {
	ticker := time.NewTicker(CollectInterval)
	defer ticker.Stop()
	for {
		c.Collect()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Collect sets the current rows of the node in the aggregator and updates the
// metrics.
func (c *Collector) Collect() {
	now := c.now()
	rows := c.recorder.Rows(now)
	if err := c.aggregator.SetRows(c.node, rows, now); err != nil {
		// The aggregator counts the rejected report.
		rows = nil
	}
	c.dropped.Update(float64(c.recorder.DroppedCalls()))
	c.rejected.Update(float64(c.aggregator.RejectedReports()))
	c.rows.Update(float64(len(rows)))
}

// EncodeReport collects and returns the encoded report for the parent: the
// totals of the node and its descendants, for one region or, when region
// is empty, for all regions.
func (c *Collector) EncodeReport(region string) []byte {
	c.Collect()
	return Encode(c.aggregator.Rows(region, c.now()))
}
