package fleet

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/btree"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
)

// Table merges entries and publishes views. It is safe for concurrent use; View
// takes no lock.
type Table struct {
	// lapsedRetention is how long an entry that left the store is kept.
	lapsedRetention time.Duration
	view            atomic.Pointer[View]

	mu      sync.Mutex
	entries map[string]tableEntry
	// index is the content of the next view.
	index index
	// changed lists the nodes by the position of their last change.
	changed btree.Map[uint64, string]
	// position counts the changes of the view. removals lists the most recent
	// removals of nodes, oldest first.
	position uint64
	removals []removal
	// onBlocklist is called when the number of refused contents has changed.
	onBlocklist func(crash.Blocklist)
	// trimmedPosition is the position of the newest removal that is no longer
	// listed.
	trimmedPosition uint64
}

// NewTable returns an empty table. lapsedRetention is how long an entry that left
// the store is kept, so that its node can write it again.
func NewTable(lapsedRetention time.Duration) *Table {
	table := &Table{lapsedRetention: lapsedRetention, entries: make(map[string]tableEntry)}
	table.index.crashes = make(map[string]crash.ParsedRecord)
	table.view.Store(newView(&table.index, 0))
	return table
}

// OnBlocklist sets a function that is called when the number of refused contents has
// changed. It must not call the table. It is set before the first entry is merged.
func (t *Table) OnBlocklist(call func(crash.Blocklist)) { t.onBlocklist = call }

// View returns the published view.
func (t *Table) View() *View { return t.view.Load() }

// Merge stores an entry unless the table holds a newer one, and reports whether
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

// MergeReported merges an entry that a node other than its own has reported, and reports
// whether anything changed. The reporting node may not know yet that the node has left,
// so the entry proves neither that the node is alive nor that the store holds it: it does
// not take back a node that left with this entry, and the entry of an unknown node counts
// as lapsed after rewrite unless it comes from elsewhere before.
func (t *Table) MergeReported(entry Entry, now time.Time, rewrite time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.entries[entry.Node]
	if t.hasDeparted(entry) || found && !entry.NewerThan(*h.entry) {
		return false
	}
	if !found {
		h.lapsedAt, h.lost = now.Add(rewrite), true
	}
	t.merge(entry)
	merged := t.entries[entry.Node]
	merged.lapsedAt, merged.lost = h.lapsedAt, h.lost
	t.entries[entry.Node] = merged
	t.publish()
	return true
}

// SyncFromStore merges the complete list of the store: entries that it lacks
// count as lapsed from now on.
func (t *Table) SyncFromStore(entries []Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Node] = true
		t.merge(entry)
	}
	t.lapseUnlisted(listed, now)
	t.publish()
}

// SyncFromRestoredStore merges the list of a store that was restored from an earlier
// copy, and returns the nodes that the store lists although they have left. A listed
// entry does not prove that its node is alive, so a node that had left, or whose entry
// had lapsed, is not added again by the entry that it left with; live nodes write their
// entries again, which the watch reports. Entries that the store lacks count as lapsed
// after rewrite, the time that their nodes need to write them again, counted from the
// last such list: the store may have been away again meanwhile. One that a later list
// holds has been written again, or is in the copy of a later restore.
func (t *Table) SyncFromRestoredStore(entries []Entry, now time.Time, rewrite time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	var departed []string
	for _, entry := range entries {
		listed[entry.Node] = true
		if t.hasDeparted(entry) {
			departed = append(departed, entry.Node)
			continue
		}
		if h := t.entries[entry.Node]; h.lost {
			h.lapsedAt, h.lost = time.Time{}, false
			t.entries[entry.Node] = h
		}
		t.merge(entry)
	}
	for node, h := range t.entries {
		if !listed[node] && (h.lapsedAt.IsZero() || h.lost) {
			h.lapsedAt, h.lost = now.Add(rewrite), true
			t.entries[node] = h
		}
	}
	t.publish()
	return departed
}

// HasDeparted reports whether the node of an entry has left, or its entry has lapsed,
// with this entry or a newer one. The loss of an entry in a restore does not count.
func (t *Table) HasDeparted(entry Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasDeparted(entry)
}

// hasDeparted is HasDeparted for callers that hold the lock.
func (t *Table) hasDeparted(entry Entry) bool {
	if h, found := t.entries[entry.Node]; found {
		return !h.lapsedAt.IsZero() && !h.lost && !entry.NewerThan(*h.entry)
	}
	for _, r := range slices.Backward(t.removals) {
		if r.last.Node == entry.Node {
			return !entry.NewerThan(r.last)
		}
	}
	return false
}

// SyncFromPeer merges the list of a node that follows the store: entries that it lacks
// count as lapsed from now on. That node has usually kept them for the retention already,
// but one that has just started may not have seen an entry that its node is about to write
// again. local is the entry of this node, which stays.
func (t *Table) SyncFromPeer(entries []Entry, local Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{local.Node: true}
	for _, entry := range entries {
		listed[entry.Node] = true
		if entry.Node != local.Node {
			t.merge(entry)
		}
	}
	t.merge(local)
	t.lapseUnlisted(listed, now)
	t.publish()
}

// Confirm ends the retention of lapsed entries. It is called when a node that follows the
// store holds the same entries: that node sees which of them are written again without a
// change, and which have to be removed.
func (t *Table) Confirm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for node, h := range t.entries {
		if !h.lapsedAt.IsZero() {
			t.entries[node] = tableEntry{entry: h.entry, position: h.position}
		}
	}
}

// Remove removes the entries of the given nodes, which another node that follows
// the store has removed from its table.
func (t *Table) Remove(nodes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		t.remove(node)
	}
	t.publish()
}

// ChangesSince returns what changed in the view after a position; false when that
// is no longer known and the complete view is needed.
func (t *Table) ChangesSince(position uint64) (Changes, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if position == 0 || position < t.trimmedPosition || position > t.position {
		return Changes{}, false
	}
	changes := Changes{Position: t.position}
	t.changed.Ascend(position+1, func(_ uint64, node string) bool {
		changes.Entries = append(changes.Entries, *t.entries[node].entry)
		return true
	})
	slices.SortFunc(changes.Entries, func(a, b Entry) int { return cmp.Compare(a.Node, b.Node) })
	for _, r := range t.removals {
		if _, rejoined := t.entries[r.last.Node]; r.position > position && !rejoined {
			changes.Removed = append(changes.Removed, r.last.Node)
		}
	}
	return changes, true
}

// MarkLapsed records that the store no longer has the entry of a node.
func (t *Table) MarkLapsed(node string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapse(node, now)
}

// Expire removes the entries whose retention after they lapsed has passed, and
// returns their nodes.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for node, h := range t.entries {
		if !h.lapsedAt.IsZero() && now.Sub(h.lapsedAt) >= t.lapsedRetention {
			t.remove(node)
			expired = append(expired, node)
		}
	}
	if len(expired) > 0 {
		t.publish()
	}
	return expired
}

// Entries returns all entries, ordered by node.
func (t *Table) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return entriesOf(&t.index.nodes)
}

// Get returns the entry of a node; false when there is none.
func (t *Table) Get(node string) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, found := t.entries[node]
	if !found {
		return Entry{}, false
	}
	return *h.entry, true
}

func (t *Table) merge(entry Entry) bool {
	h, found := t.entries[entry.Node]
	if found && !entry.NewerThan(*h.entry) {
		if !h.lapsedAt.IsZero() && entry.Equal(*h.entry) {
			t.entries[entry.Node] = tableEntry{entry: h.entry, position: h.position}
		}
		return false
	}
	t.position++
	t.index.replace(h.entry, &entry)
	t.changed.Delete(h.position)
	t.changed.Set(t.position, entry.Node)
	t.entries[entry.Node] = tableEntry{entry: &entry, position: t.position}
	return true
}

func (t *Table) remove(node string) {
	h, found := t.entries[node]
	if !found {
		return
	}
	delete(t.entries, node)
	t.position++
	t.index.replace(h.entry, nil)
	t.changed.Delete(h.position)
	t.removals = append(t.removals, removal{last: *h.entry, position: t.position})
	if excess := len(t.removals) - maxRemovals; excess > 0 {
		t.trimmedPosition = t.removals[excess-1].position
		t.removals = slices.Delete(t.removals, 0, excess)
	}
}

func (t *Table) lapse(node string, now time.Time) {
	if h, found := t.entries[node]; found && (h.lapsedAt.IsZero() || h.lost && now.Before(h.lapsedAt)) {
		h.lapsedAt, h.lost = now, false
		t.entries[node] = h
	}
}

// lapseUnlisted has the entries of all nodes that are not listed count as lapsed.
func (t *Table) lapseUnlisted(listed map[string]bool, now time.Time) {
	for node := range t.entries {
		if !listed[node] {
			t.lapse(node, now)
		}
	}
}

// publish publishes a view of the entries unless the published one has the same.
func (t *Table) publish() {
	previous := t.view.Load()
	if previous.position == t.position {
		return
	}
	current := newView(&t.index, t.position)
	t.view.Store(current)
	if t.onBlocklist != nil && previous.blocklist.Blocked() != current.blocklist.Blocked() {
		t.onBlocklist(current.blocklist)
	}
}
