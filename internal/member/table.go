package member

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table is the membership table of one node. Every method takes the time, so
// that its decisions depend on nothing else. It is safe for concurrent use;
// readers of the view take no lock.
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
	// lastHeard is when each watched node was last lastHeard of.
	lastHeard    map[string]time.Time
	regions  regionTable
	lastTick time.Time
	outbidAt time.Time
	changes  []RecordChange
	// dirty is set when the view no longer shows the table's content.
	dirty bool
}

// NewTable returns a table that holds the node's own record. The state of the
// record becomes Alive.
func NewTable(config Config, self Record, now time.Time) (*Table, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	self.State = Alive
	if err := self.Validate(); err != nil {
		return nil, err
	}
	table := &Table{
		config:   config,
		id:       self.ID,
		region:   self.Region,
		entries:  make(map[string]*entry),
		lastHeard:    make(map[string]time.Time),
		regions:  newRegionTable(self.Region),
		lastTick: now,
	}
	table.regions.connectedSince = now
	table.set(self, "", now)
	table.publish(now)
	table.notifier.deliver()
	return table, nil
}

// ID returns the id of the own node.
func (t *Table) ID() string { return t.id }

// View returns the newest view.
func (t *Table) View() *View { return t.view.Load() }

// Plan returns whom the node exchanges records with.
func (t *Table) Plan() *Plan { return t.plan.Load() }

// Subscribe adds a listener.
func (t *Table) Subscribe(listener Listener) { t.notifier.subscribe(listener) }

// Position returns the place of the newest change in the table's log.
func (t *Table) Position() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

// Hash returns the hash of all records that are neither left nor dead. Equal
// hashes mean equal records.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// ChangedSince returns the records that changed after a position and the
// position that a peer has reached once it applied them. Records that came from
// the peer itself are left out, unless the peer holds nothing. The result is
// bounded; the rest follows from the returned position.
func (t *Table) ChangedSince(peer string, from uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if from >= t.position {
		return nil, t.position
	}
	changed := t.entriesAfter(peer, from)
	if len(changed) <= t.config.MaxMessageRecords {
		return recordsOf(changed), t.position
	}
	changed = changed[:t.config.MaxMessageRecords]
	return recordsOf(changed), changed[len(changed)-1].position
}

// HasChangedSince reports whether ChangedSince would return records.
func (t *Table) HasChangedSince(peer string, from uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return from < t.position && len(t.entriesAfter(peer, from)) > 0
}

// entriesAfter returns the entries in the order of their changes.
func (t *Table) entriesAfter(peer string, from uint64) []*entry {
	var changed []*entry
	for _, e := range t.entries {
		if e.position <= from || (from > 0 && e.source == peer) {
			continue
		}
		changed = append(changed, e)
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.position, b.position) })
	return changed
}

// set stores a record as the newest change.
func (t *Table) set(record Record, source string, now time.Time) {
	old := t.entries[record.ID]
	t.position++
	e := &entry{record: record, position: t.position, source: source, updatedAt: now}
	change := RecordChange{After: record}
	if old != nil {
		change.Before = old.record
	}
	t.dirty = true
	t.hash ^= old.hash() ^ e.hash()
	t.entries[record.ID] = e
	t.changes = append(t.changes, change)
}

// remove drops a record without a place in the log; each node forgets by itself.
func (t *Table) remove(id string) {
	old := t.entries[id]
	t.hash ^= old.hash()
	delete(t.entries, id)
	delete(t.lastHeard, id)
	t.dirty = true
	t.changes = append(t.changes, RecordChange{Before: old.record})
}

// publish makes the changes since the last call visible. The lock is held.
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

// maxIncrementalChanges is the number of changes up to which a view is derived from
// the one before.
const maxIncrementalChanges = 16

func (t *Table) newView(unreachable []string) *View {
	self := t.entries[t.id].record
	before := t.view.Load()
	if before == nil || len(t.changes) > maxIncrementalChanges {
		return NewView(self, t.records(), unreachable)
	}
	return before.withChanges(self, t.changes, unreachable)
}

// publishPlan computes the plan anew and watches the neighbours in it.
func (t *Table) publishPlan(view *View, now time.Time) {
	plan := newPlan(&view.Self, view.nodes, t.config.Neighbours)
	t.plan.Store(plan)
	for _, neighbour := range plan.Neighbours {
		if _, watched := t.lastHeard[neighbour.ID]; !watched {
			t.lastHeard[neighbour.ID] = now
		}
	}
}

// publishAndUnlock publishes pending changes, unlocks and tells the listeners.
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
