// Package quarantine detects requests that crash the backend servers that run them
// and blocks these requests for a limited time.
//
// It owns the crash reports and the current set of blocks. Reports are disseminated
// with the membership gossip; a lost report delays a block, and a full list evicts
// the oldest request.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// List holds crash reports and derives blocks from them. It is safe for concurrent
// use; Blocked takes no lock.
type List struct {
	config  Config
	blocks  atomic.Pointer[map[Request]Block]
	dropped atomic.Uint64

	mu       sync.Mutex
	crashes  map[Request]map[string]crash
	position uint64
	onBlock  []func(Block)
}

// crash is the newest report of one node for one request.
type crash struct {
	at time.Time
	// position is the sequence number of the report in the list.
	position uint64
}

// New returns an empty list.
func New(config Config) (*List, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	list := &List{config: config, crashes: make(map[Request]map[string]crash)}
	list.blocks.Store(&map[Request]Block{})
	return list, nil
}

// Blocked returns the block in force for a request; false when there is none.
func (l *List) Blocked(request Request, now time.Time) (Block, bool) {
	block, found := (*l.blocks.Load())[request]
	if !found || !now.Before(block.Until) {
		return Block{}, false
	}
	return block, true
}

// Blocks returns the blocks in force, ordered by service and fingerprint.
func (l *List) Blocks(now time.Time) []Block {
	var inForce []Block
	for _, block := range *l.blocks.Load() {
		if now.Before(block.Until) {
			inForce = append(inForce, block)
		}
	}
	slices.SortFunc(inForce, func(a, b Block) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return inForce
}

// OnBlock registers a function that is called for each new block, without the lock
// of the list held.
func (l *List) OnBlock(call func(Block)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onBlock = append(l.onBlock, call)
}

// Dropped returns the number of reports and requests dropped at the limits.
func (l *List) Dropped() uint64 { return l.dropped.Load() }

// Position returns the sequence number of the newest report.
func (l *List) Position() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position
}

// Add adds reports that are newer than the present ones and returns whether
// anything changed. Reports may be added in any order and any number of times.
func (l *List) Add(reports []Report, now time.Time) bool {
	if excess := len(reports) - l.config.MaxMessageReports; excess > 0 {
		l.dropped.Add(uint64(excess))
		reports = reports[:l.config.MaxMessageReports]
	}
	l.mu.Lock()
	changed := false
	for _, report := range reports {
		changed = l.add(report, now) || changed
	}
	var started []Block
	if changed {
		started = l.updateBlocks(now)
	}
	listeners := l.onBlock
	l.mu.Unlock()
	for _, block := range started {
		for _, listener := range listeners {
			listener(block)
		}
	}
	return changed
}

func (l *List) add(report Report, now time.Time) bool {
	// Encoded reports have a resolution of milliseconds. Truncation makes the blocks
	// end at the same time on all nodes.
	report.At = time.UnixMilli(report.At.UnixMilli()).UTC()
	if !l.acceptable(report, now) {
		return false
	}
	nodes := l.crashes[report.Request]
	if nodes == nil {
		l.evict(now)
		nodes = make(map[string]crash)
		l.crashes[report.Request] = nodes
	}
	previous, known := nodes[report.Node]
	if known && !previous.at.Before(report.At) {
		return false
	}
	if !known && len(nodes) >= l.config.MaxNodes {
		l.dropped.Add(1)
		return false
	}
	l.position++
	nodes[report.Node] = crash{at: report.At, position: l.position}
	return true
}

// ChangedSince returns the reports that were added after a position, oldest first,
// and the position that a peer has reached once it has added them. It returns at
// most MaxMessageReports reports; the next call continues from the returned
// position.
func (l *List) ChangedSince(from uint64, now time.Time) ([]Report, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from >= l.position {
		return nil, l.position
	}
	type sequencedReport struct {
		report   Report
		position uint64
	}
	var changed []sequencedReport
	for request, nodes := range l.crashes {
		for node, c := range nodes {
			if c.position > from && !l.expired(c, now) {
				changed = append(changed, sequencedReport{Report{Request: request, Node: node, At: c.at}, c.position})
			}
		}
	}
	slices.SortFunc(changed, func(a, b sequencedReport) int { return cmp.Compare(a.position, b.position) })
	to := l.position
	if len(changed) > l.config.MaxMessageReports {
		changed = changed[:l.config.MaxMessageReports]
		to = changed[len(changed)-1].position
	}
	reports := make([]Report, len(changed))
	for i := range changed {
		reports[i] = changed[i].report
	}
	return reports, to
}
