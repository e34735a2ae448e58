package event

import "sync"

// buffer is a ring buffer of events.
type buffer struct {
	mu     sync.Mutex
	events []Event
	next   int
	total  uint64
}

func newBuffer(size int) *buffer {
	return &buffer{events: make([]Event, 0, size)}
}

// add appends an event and overwrites the oldest one when the buffer is full.
func (b *buffer) add(event Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total++
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, event)
		return
	}
	b.events[b.next] = event
	b.next = (b.next + 1) % len(b.events)
}

// overwritten returns the number of events that were overwritten.
func (b *buffer) overwritten() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total - uint64(len(b.events))
}

// matching returns the events that match the query, newest first, at most
// query.Limit.
func (b *buffer) matching(query Query) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var selected []Event
	for i := range b.events {
		event := b.events[(b.next+len(b.events)-1-i)%len(b.events)]
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
