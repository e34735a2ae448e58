package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Table merges entries and publishes views. It is safe for concurrent use; View
// takes no lock.
type Table struct {
	// lapsedAfter is how long an entry that left the store is kept.
	lapsedAfter time.Duration
	view        atomic.Pointer[View]

	mu      sync.Mutex
	entries map[string]held
	// position counts the changes of the view, removals the newest of those that
	// removed a node, oldest first.
	position uint64
	removals []removal
	// forgotten is the position of the newest removal that is no longer listed.
	forgotten uint64
}

// held is an entry with what is known of its place in the store.
type held struct {
	entry Entry
	// lapsed is when the entry left the store; zero while it is there.
	lapsed time.Time
	// position is the table's position at the entry's last change.
	position uint64
}

// removal is a node that left the view at a position.
type removal struct {
	node     string
	position uint64
}

// maxRemovals bounds the removals that are listed. A reader that missed more takes
// the whole view.
const maxRemovals = 256

// NewTable returns an empty table. lapsedAfter is how long an entry that left
// the store is kept for its node to write it again.
func NewTable(lapsedAfter time.Duration) *Table {
	table := &Table{lapsedAfter: lapsedAfter, entries: make(map[string]held)}
	table.view.Store(newView(nil, 0))
	return table
}

// View returns the published view.
func (t *Table) View() *View { return t.view.Load() }

// Merge takes over an entry unless a newer one is held, and reports whether
// anything changed.
func (t *Table) Merge(entry Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(entry)
	if changed {
		t.publish()
	}
	return changed
}

// SyncFromStore takes over the complete list of the store: entries that it lacks count
// as lapsed from now on.
func (t *Table) SyncFromStore(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Node] = true
		t.merge(entry)
	}
	for node := range t.entries {
		if !listed[node] {
			t.lapse(node, now)
		}
	}
	t.publish()
}

// SyncFromPeer takes over the list of a node that follows the store: entries that it
// lacks are gone, because that node has kept them for long enough. own is the
// entry of this node, which stays.
func (t *Table) SyncFromPeer(entries []Entry, own Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{own.Node: true}
	for _, entry := range entries {
		listed[entry.Node] = true
		if entry.Node != own.Node {
			t.merge(entry)
		}
	}
	t.merge(own)
	for node := range t.entries {
		if !listed[node] {
			t.remove(node)
		}
	}
	t.publish()
}

// Remove drops the entries of nodes that a node which follows the store has seen
// leave.
func (t *Table) Remove(nodes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		t.remove(node)
	}
	t.publish()
}

// ChangesSince returns what changed in the view after a position; false when that is no
// longer known, and then the whole view is needed.
func (t *Table) ChangesSince(position uint64) (Changes, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if position == 0 || position < t.forgotten || position > t.position {
		return Changes{}, false
	}
	changes := Changes{Position: t.position}
	for _, node := range slices.Sorted(maps.Keys(t.entries)) {
		if h := t.entries[node]; h.position > position {
			changes.Entries = append(changes.Entries, h.entry)
		}
	}
	for _, r := range t.removals {
		if _, back := t.entries[r.node]; r.position > position && !back {
			changes.Removed = append(changes.Removed, r.node)
		}
	}
	return changes, true
}

// MarkLapsed notes that the store no longer has the entry of a node.
func (t *Table) MarkLapsed(node string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(node, now)
}

// Expire removes the entries that lapsed too long ago and returns their nodes.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []string
	for node, h := range t.entries {
		if !h.lapsed.IsZero() && now.Sub(h.lapsed) >= t.lapsedAfter {
			t.remove(node)
			gone = append(gone, node)
		}
	}
	if len(gone) > 0 {
		t.publish()
	}
	return gone
}

// Entries returns all entries, ordered by node.
func (t *Table) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted()
}

// Get returns the entry of a node.
func (t *Table) Get(node string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.entries[node]
	return h.entry, found
}

func (t *Table) merge(entry Entry) bool {
	h, found := t.entries[entry.Node]
	if found && !entry.NewerThan(h.entry) {
		if entry == h.entry && !h.lapsed.IsZero() {
			t.entries[entry.Node] = held{entry: h.entry, position: h.position}
		}
		return false
	}
	t.position++
	t.entries[entry.Node] = held{entry: entry, position: t.position}
	return true
}

func (t *Table) remove(node string) {
	if _, found := t.entries[node]; !found {
		return
	}
	delete(t.entries, node)
	t.position++
	t.removals = append(t.removals, removal{node: node, position: t.position})
	if excess := len(t.removals) - maxRemovals; excess > 0 {
		t.forgotten = t.removals[excess-1].position
		t.removals = slices.Delete(t.removals, 0, excess)
	}
}

func (t *Table) lapse(node string, now time.Time) {
	if h, found := t.entries[node]; found && h.lapsed.IsZero() {
		h.lapsed = now
		t.entries[node] = h
	}
}

func (t *Table) sorted() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, node := range slices.Sorted(maps.Keys(t.entries)) {
		entries = append(entries, t.entries[node].entry)
	}
	return entries
}

func (t *Table) publish() { t.view.Store(newView(t.sorted(), t.position)) }
