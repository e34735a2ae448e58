package burn

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// CollectInterval is the time between two collections, and between two reports
// to a parent.
const CollectInterval = 10 * time.Second

// Collector moves the calls of a node into its sum at regular times, so that the
// sum always has a part of the node itself beside those of its children.
type Collector struct {
	windows *WindowRecorder
	sum     *Aggregator
	node    string
	now     func() time.Time
	dropped tally.Gauge
	refused tally.Gauge
	rows    tally.Gauge
}

// NewCollector returns a collector for the named node.
func NewCollector(windows *WindowRecorder, sum *Aggregator, node string, scope tally.Scope, now func() time.Time) *Collector {
	scope = scope.SubScope("burn")
	return &Collector{
		windows: windows,
		sum:     sum,
		node:    node,
		now:     now,
		dropped: scope.Gauge("dropped_calls"),
		refused: scope.Gauge("refused_reports"),
		rows:    scope.Gauge("rows"),
	}
}

// Run collects until the context ends.
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

// Collect moves what was counted into the sum at once.
func (c *Collector) Collect() {
	now := c.now()
	rows := c.windows.Rows(now)
	if err := c.sum.SetRows(c.node, rows, now); err != nil {
		// The sum counts the refusal.
		rows = nil
	}
	c.dropped.Update(float64(c.windows.DroppedCalls()))
	c.refused.Update(float64(c.sum.RefusedReports()))
	c.rows.Update(float64(len(rows)))
}

// EncodeReport collects and returns the report for the parent: the sum of the node and
// of all nodes below it, for one region or, when it is empty, for all.
func (c *Collector) EncodeReport(region string) []byte {
	c.Collect()
	return Encode(c.sum.Rows(region, c.now()))
}
