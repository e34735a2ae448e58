package relay

import (
	"slices"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/controlpb"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

const (
	// maxSubscribers is the maximum number of children of a parent.
	maxSubscribers = 64
	// lagTolerance is how long a node may be behind before it is reported as a
	// laggard.
	lagTolerance = 200 * time.Millisecond
)

// subscriberTable holds the children of a parent.
type subscriberTable struct {
	// changed receives a value when a report or a held version changed.
	changed chan struct{}

	mu       sync.Mutex
	children map[string]*subscriber
}

func newSubscriberTable() *subscriberTable {
	return &subscriberTable{changed: make(chan struct{}, 1), children: make(map[string]*subscriber)}
}

// add adds a child and replaces its earlier subscription; false when the table
// is full.
func (s *subscriberTable) add(node string) (*subscriber, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.children[node]
	if found {
		close(old.replaced)
	} else if len(s.children) >= maxSubscribers {
		return nil, false
	}
	child := &subscriber{node: node, replaced: make(chan struct{})}
	s.children[node] = child
	return child, true
}

// remove removes a child unless it subscribed again.
func (s *subscriberTable) remove(child *subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.children[child.node] == child {
		delete(s.children, child.node)
	}
	s.notify()
}

// handle applies a message of a child.
func (s *subscriberTable) handle(child *subscriber, message *controlpb.ChildMessage, version uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	child.handle(message)
	child.updateLag(version, now)
	s.notify()
}

func (s *subscriberTable) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *subscriberTable) held(child *subscriber) config.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return child.held
}

func (s *subscriberTable) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.children)
}

// reports returns the reports of the children in the region of the local node.
// Reports of another region are requested from its reader.
func (s *subscriberTable) reports(view *member.View, version uint64, now time.Time) []*controlpb.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []*controlpb.Report
	for _, child := range s.children {
		record, found := view.Node(child.node)
		if !found {
			record = member.Record{ID: child.node, Region: view.Self.Region, FailureDomain: view.Self.FailureDomain}
		}
		if record.Region != view.Self.Region {
			continue
		}
		child.updateLag(version, now)
		reports = append(reports, child.reports(record, version, now)...)
	}
	return reports
}

func (s *subscriberTable) statistics() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var encoded [][]byte
	for _, child := range s.children {
		if len(child.statistics) > 0 {
			encoded = append(encoded, child.statistics)
		}
	}
	return encoded
}

// reports returns the reports that cover the child.
func (s *subscriber) reports(record member.Record, version uint64, now time.Time) []*controlpb.Report {
	reports := []*controlpb.Report{s.report}
	if len(s.report.GetDomains()) == 0 {
		reports = append(reports, nodeReport(record, s.held.Version))
	}
	listed := slices.ContainsFunc(s.report.GetLaggards(), func(l *controlpb.Laggard) bool { return l.Node == record.ID })
	if behind := now.Sub(s.behindSince); !listed && !s.behindSince.IsZero() && behind > lagTolerance {
		reports = append(reports, &controlpb.Report{Laggards: []*controlpb.Laggard{{
			Node: record.ID, FailureDomain: record.FailureDomain, Version: s.held.Version,
			AgeMs: millis(behind), Reason: "has not confirmed version " + formatVersion(version),
		}}})
	}
	return reports
}

// nodeReport returns the report that counts one node.
func nodeReport(record member.Record, version uint64) *controlpb.Report {
	return &controlpb.Report{Domains: []*controlpb.DomainReport{{
		Region:        record.Region,
		FailureDomain: record.FailureDomain,
		Versions:      []*controlpb.VersionCount{{Version: version, Nodes: 1}},
	}}}
}

func millis(d time.Duration) uint32 {
	return uint32(min(d.Milliseconds(), int64(^uint32(0))))
}
