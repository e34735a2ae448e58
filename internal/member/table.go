package member

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table is the membership table of one node. Every method that depends on time
// takes it as an argument, so that its decisions depend on nothing else. It is safe
// for concurrent use; readers of the view take no lock.
type Table struct {
	config Config
	id     string
	region string

	view     atomic.Pointer[View]
	plan     atomic.Pointer[Plan]
	notifier notifier
	stats    stats

	mu       sync.Mutex
	entries  map[string]*entry
	position uint64
	hash     uint64
	// lastReceived is when the last message of each monitored node arrived or,
	// before the first one, when monitoring started.
	lastReceived map[string]time.Time
	regions      regionTable
	lastTick     time.Time
	// outbidAt is when the incarnation was last raised by outbid.
	outbidAt time.Time
	// changes holds the changes since the last published view.
	changes []RecordChange
	// dirty is set when the published view is not up to date.
	dirty bool
}

// NewTable returns a table with the record of the local node, whose state is set to
// Alive. It returns an error when the config or the record is invalid.
func NewTable(config Config, self Record, now time.Time) (*Table, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	self.State = Alive
	if err := self.Validate(); err != nil {
		return nil, err
	}
	table := &Table{
		config:       config,
		id:           self.ID,
		region:       self.Region,
		entries:      make(map[string]*entry),
		lastReceived: make(map[string]time.Time),
		regions:      newRegionTable(self.Region),
		lastTick:     now,
	}
	table.regions.connectedSince = now
	table.set(self, "", now)
	table.publish(now)
	table.notifier.deliver()
	return table, nil
}

// ID returns the ID of the local node.
func (t *Table) ID() string { return t.id }

// View returns the newest view.
func (t *Table) View() *View { return t.view.Load() }

// Plan returns the nodes that the local node exchanges records with.
func (t *Table) Plan() *Plan { return t.plan.Load() }

// Subscribe adds a listener for later changes.
func (t *Table) Subscribe(listener Listener) { t.notifier.subscribe(listener) }

// Position returns the position of the newest change in the change log.
func (t *Table) Position() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Hash returns the hash of the records of all nodes that are neither left nor dead.
// Tables with equal hashes hold the same versions of these records.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// ChangedSince returns the records that changed after a position, and the position
// that the peer has reached once it has applied them. Records received from the
// peer itself are omitted, unless from is zero. At most MaxMessageRecords are
// returned; the next call with the returned position yields the rest.
func (t *Table) ChangedSince(peer string, from uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from >= t.position {
		return nil, t.position
	}
	entries := t.entriesAfter(peer, from)
	if len(entries) <= t.config.MaxMessageRecords {
		return recordsOf(entries), t.position
	}
	entries = entries[:t.config.MaxMessageRecords]
	return recordsOf(entries), entries[len(entries)-1].position
}

// HasChangedSince reports whether ChangedSince would return records.
func (t *Table) HasChangedSince(peer string, from uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return from < t.position && len(t.entriesAfter(peer, from)) > 0
}

// entriesAfter returns the entries that ChangedSince selects, in the order of their
// changes.
func (t *Table) entriesAfter(peer string, from uint64) []*entry {
	var entries []*entry
	for _, e := range t.entries {
		if e.position <= from || (from > 0 && e.source == peer) {
			continue
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.position, b.position) })
	return entries
}

// set stores a record as the newest change.
func (t *Table) set(record Record, source string, now time.Time) {
	previous := t.entries[record.ID]
	t.position++
	e := &entry{record: record, position: t.position, source: source, updatedAt: now}
	change := RecordChange{After: record}
	if previous != nil {
		change.Before = previous.record
	}
	t.dirty = true
	t.hash ^= previous.hash() ^ e.hash()
	t.entries[record.ID] = e
	t.changes = append(t.changes, change)
}

// remove deletes a record. Removals are not added to the change log, since each
// node removes records independently.
func (t *Table) remove(id string) {
	previous := t.entries[id]
	t.hash ^= previous.hash()
	delete(t.entries, id)
	delete(t.lastReceived, id)
	t.dirty = true
	t.changes = append(t.changes, RecordChange{Before: previous.record})
}

// publish publishes a view with the changes since the last one. The lock must be
// held.
func (t *Table) publish(now time.Time) {
	view := t.newView(t.regions.publishUnreachable(now, t.config.RegionUnreachableAfter))
	t.view.Store(view)
	if t.plan.Load() == nil || slices.ContainsFunc(t.changes, RecordChange.affectsPlan) {
		t.publishPlan(view, now)
	}
	t.notifier.enqueue(Change{View: view, Records: t.changes})
	t.changes = nil
	t.dirty = false
}

// maxIncrementalChanges is the maximum number of changes for which the new view is
// derived from the previous one instead of being rebuilt.
const maxIncrementalChanges = 16

func (t *Table) newView(unreachable []string) *View {
	self := t.entries[t.id].record
	previous := t.view.Load()
	if previous == nil || len(t.changes) > maxIncrementalChanges {
		return NewView(self, t.records(), unreachable)
	}
	return previous.withChanges(self, t.changes, unreachable)
}

// publishPlan recomputes the plan and starts to monitor new neighbours.
func (t *Table) publishPlan(view *View, now time.Time) {
	plan := newPlan(&view.Self, view.nodes, t.config.Neighbours)
	t.plan.Store(plan)
	for _, neighbour := range plan.Neighbours {
		if _, monitored := t.lastReceived[neighbour.ID]; !monitored {
			t.lastReceived[neighbour.ID] = now
		}
	}
}

// publishAndUnlock publishes pending changes, unlocks the table and notifies the
// listeners.
func (t *Table) publishAndUnlock(now time.Time) {
	dirty := t.dirty
	if dirty {
		t.publish(now)
	}
	t.mu.Unlock()
	if dirty {
		t.notifier.deliver()
	}
}

func (t *Table) records() []Record {
	records := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		records = append(records, e.record)
	}
	return records
}

func recordsOf(entries []*entry) []Record {
	records := make([]Record, len(entries))
	for i, e := range entries {
		records[i] = e.record
	}
	return records
}
