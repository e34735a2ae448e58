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
}

// held is an entry with what is known of its place in the store.
type held struct {
	entry Entry
	// lapsed is when the entry left the store; zero while it is there.
	lapsed time.Time
}

// NewTable returns an empty table. lapsedAfter is how long an entry that left
// the store is kept for its node to write it again.
func NewTable(lapsedAfter time.Duration) *Table {
	table := &Table{lapsedAfter: lapsedAfter, entries: make(map[string]held)}
	table.view.Store(newView(nil))
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

// Listed takes over the complete list of the store: entries that it lacks count
// as lapsed from now on.
func (t *Table) Listed(entries []Entry, now time.Time) {
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

// Adopt takes over the list of a node that follows the store: entries that it
// lacks are gone, because that node has kept them for long enough. own is the
// entry of this node, which stays.
func (t *Table) Adopt(entries []Entry, own Entry) {
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
			delete(t.entries, node)
		}
	}
	t.publish()
}

// Lapsed notes that the store no longer has the entry of a node.
func (t *Table) Lapsed(node string, now time.Time) {
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
			delete(t.entries, node)
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
	if found && !entry.Newer(h.entry) {
		if entry == h.entry && !h.lapsed.IsZero() {
			t.entries[entry.Node] = held{entry: h.entry}
		}
		return false
	}
	t.entries[entry.Node] = held{entry: entry}
	return true
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

func (t *Table) publish() { t.view.Store(newView(t.sorted())) }
