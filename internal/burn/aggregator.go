package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Aggregator adds up the statistics of the nodes below a parent. Each part is the whole
// state of one child and replaces the child's earlier part. A report that
// arrives twice therefore counts once, and a new parent has the whole state after
// one report of each child. The price is that the calls seen by a node are
// forgotten with the node.
type Aggregator struct {
	config  Config
	refused atomic.Uint64

	mu    sync.Mutex
	parts map[string]part
}

// part is what one child reported.
type part struct {
	rows []Row
	at   time.Time
}

// NewAggregator returns an empty sum.
func NewAggregator(config Config) (*Aggregator, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Aggregator{config: config, parts: make(map[string]part)}, nil
}

// SetEncoded replaces the part of a child by an encoded report.
func (s *Aggregator) SetEncoded(child string, data []byte, now time.Time) error {
	rows, err := Decode(data, s.config)
	if err != nil {
		s.refused.Add(1)
		return errors.Wrapf(err, "report of %s", child)
	}
	return s.SetRows(child, rows, now)
}

// SetRows replaces the part of a child.
func (s *Aggregator) SetRows(child string, rows []Row, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.parts[child]; !known && len(s.parts) >= s.config.MaxParts {
		s.refused.Add(1)
		return errors.Errorf("report of %s: the sum already has %d parts", child, s.config.MaxParts)
	}
	s.parts[child] = part{rows: rows, at: now}
	return nil
}

// Remove removes the part of a child that has left for another parent.
func (s *Aggregator) Remove(child string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.parts, child)
}

// RefusedReports counts the reports that were malformed or found no room.
func (s *Aggregator) RefusedReports() uint64 { return s.refused.Load() }

// Rows returns the sums by target and region, ordered by both. A region limits
// them to that region; empty means all. Parts that were not replaced within the
// expiry are left out: their children report to another parent by now.
func (s *Aggregator) Rows(region string, now time.Time) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := make(map[rowKey]*Row)
	for child, p := range s.parts {
		if now.Sub(p.at) > s.config.PartExpiry {
			delete(s.parts, child)
			continue
		}
		s.addPart(sums, p, region)
	}
	rows := make([]Row, 0, len(sums))
	for _, row := range sums {
		rows = append(rows, *row)
	}
	sortRows(rows)
	return rows
}

func (s *Aggregator) addPart(sums map[rowKey]*Row, p part, region string) {
	for _, row := range p.rows {
		if region != "" && row.Region != region {
			continue
		}
		sum := sums[row.key()]
		if sum == nil {
			if len(sums) >= s.config.MaxRows {
				s.refused.Add(1)
				continue
			}
			sum = &Row{Target: row.Target, Region: row.Region, Latencies: newSketch()}
			sums[row.key()] = sum
		}
		sum.add(row)
	}
}
