package event

import (
	"sync"
	"time"
)

// DefaultRingSize is the number of events that a ring keeps.
const DefaultRingSize = 4096

// Recorder accepts events.
type Recorder interface {
	Record(Event)
}

// Ring keeps the newest events. It is safe for concurrent use.
type Ring struct {
	node string
	now  func() time.Time

	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

// NewRing returns a ring for the named node that keeps size events.
func NewRing(node string, size int, now func() time.Time) *Ring {
	return &Ring{node: node, now: now, events: make([]Event, 0, size)}
}

// Record stores an event, filling in the node and the time when they are empty.
func (r *Ring) Record(event Event) {
	if event.Node == "" {
		event.Node = r.node
	}
	if event.At.IsZero() {
		event.At = r.now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Overwritten returns how many events were dropped to make room.
func (r *Ring) Overwritten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total - uint64(len(r.events))
}

// Query selects events.
type Query struct {
	// Kind selects one kind; empty selects all.
	Kind Kind
	// Subject selects one subject; empty selects all.
	Subject string
	// Limit bounds the result; 0 means no bound.
	Limit int
}

// Select returns matching events, newest first.
func (r *Ring) Select(query Query) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var selected []Event
	for i := range r.events {
		event := r.events[(r.next+len(r.events)-1-i)%len(r.events)]
		if !query.matches(event) {
			continue
		}
		selected = append(selected, event)
		if query.Limit > 0 && len(selected) == query.Limit {
			break
		}
	}
	return selected
}

func (q Query) matches(event Event) bool {
	if q.Kind != "" && q.Kind != event.Kind {
		return false
	}
	return q.Subject == "" || q.Subject == event.Subject
}
