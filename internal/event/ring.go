package event

import (
	"slices"
	"time"
)

// DefaultRingSize is the number of events that a ring keeps by default.
const DefaultRingSize = 4096

// Recorder records events.
type Recorder interface {
	Record(Event)
}

// Ring keeps the newest events. Refusals and state changes have half of the
// capacity each, so that a burst of refusals does not displace state changes.
// It is safe for concurrent use.
type Ring struct {
	node     string
	now      func() time.Time
	changes  *buffer
	refusals *buffer
}

// NewRing returns a ring for the named node with a capacity of size events, half
// of it for refusals.
func NewRing(node string, size int, now func() time.Time) *Ring {
	return &Ring{node: node, now: now, changes: newBuffer(max(size/2, 1)), refusals: newBuffer(max(size/2, 1))}
}

// Record stores an event. An empty node and a zero time are set to the node of
// the ring and the current time.
func (r *Ring) Record(event Event) {
	if event.Node == "" {
		event.Node = r.node
	}
	if event.At.IsZero() {
		event.At = r.now()
	}
	if event.Kind == KindRefusal {
		r.refusals.add(event)
		return
	}
	r.changes.add(event)
}

// Overwritten returns the number of events that were overwritten by newer ones.
func (r *Ring) Overwritten() uint64 {
	return r.changes.overwritten() + r.refusals.overwritten()
}

// Select returns the events that match the query, newest first.
func (r *Ring) Select(query Query) []Event {
	selected := append(r.changes.matching(query), r.refusals.matching(query)...)
	slices.SortStableFunc(selected, func(a, b Event) int { return b.At.Compare(a.At) })
	if query.Limit > 0 && len(selected) > query.Limit {
		selected = selected[:query.Limit]
	}
	return selected
}
