package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Aggregator totals the statistics of the descendants of a parent. Each part is
// the complete state of one child and replaces the earlier part of that child. A
// duplicated report therefore counts once, and a new parent has the complete
// state after one report from each child. The cost is that the calls of a node
// are lost with the node.
type Aggregator struct {
	config   Config
	rejected atomic.Uint64

	mu    sync.Mutex
	parts map[string]part
}

// part is the latest report of one child.
type part struct {
	rows []Row
	at   time.Time
}

// NewAggregator returns an aggregator without parts. It returns an error when
// the config is invalid.
func NewAggregator(config Config) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Aggregator{config: config, parts: make(map[string]part)}, nil
}

// SetEncoded replaces the part of a child by an encoded report. It returns an
// error when the report is malformed or the aggregator is full.
func (a *Aggregator) SetEncoded(child string, data []byte, now time.Time) error {
	rows, err := Decode(data, a.config)
	if err != nil {
		a.rejected.Add(1)
		return errors.Wrapf(err, "report of %s", child)
	}
	return a.SetRows(child, rows, now)
}

// SetRows replaces the part of a child. It returns an error when the child is
// new and the aggregator is full.
func (a *Aggregator) SetRows(child string, rows []Row, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.parts[child]; !known && len(a.parts) >= a.config.MaxParts {
		a.rejected.Add(1)
		return errors.Errorf("report of %s: the aggregator already has the maximum of %d parts", child, a.config.MaxParts)
	}
	a.parts[child] = part{rows: rows, at: now}
	return nil
}

// Remove deletes the part of a child, which now reports to another parent.
func (a *Aggregator) Remove(child string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.parts, child)
}

// RejectedReports returns the number of malformed reports and of reports and
// rows above the limits.
func (a *Aggregator) RejectedReports() uint64 { return a.rejected.Load() }

// Rows returns the totals by target and region, ordered by both. A region
// restricts them to that region; empty means all regions. Parts older than the
// expiry are deleted: their children now report to another parent.
func (a *Aggregator) Rows(region string, now time.Time) []Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := make(map[rowKey]*Row)
	for child, p := range a.parts {
		if now.Sub(p.at) > a.config.PartExpiry {
			delete(a.parts, child)
			continue
		}
		a.addPart(totals, p, region)
	}
	rows := make([]Row, 0, len(totals))
	for _, row := range totals {
		rows = append(rows, *row)
	}
	sortRows(rows)
	return rows
}

func (a *Aggregator) addPart(totals map[rowKey]*Row, p part, region string) {
	for _, row := range p.rows {
		if region != "" && row.Region != region {
			continue
		}
		total := totals[row.key()]
		if total == nil {
			if len(totals) >= a.config.MaxRows {
				a.rejected.Add(1)
				continue
			}
			total = &Row{Target: row.Target, Region: row.Region, Latencies: newSketch()}
			totals[row.key()] = total
		}
		total.add(row)
	}
}
