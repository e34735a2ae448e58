package operator

import (
	"slices"
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// eventMerge collects the newest events of many hosts. It never holds more than
// the limit and the answer of one host at a time. It is safe for concurrent use.
type eventMerge struct {
	limit int

	mu          sync.Mutex
	events      []event.Event
	unreachable []string
	truncated   bool
}

func newEventMerge(limit int) *eventMerge {
	return &eventMerge{limit: limit, events: []event.Event{}}
}

// addAnswer takes the answer of one host.
func (m *eventMerge) addAnswer(host string, reply EventResponse, err error) {
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.unreachable = append(m.unreachable, host)
		return
	}
	m.add(reply.Events, reply.Truncated)
}

// add keeps the newest of the events held and the new ones.
func (m *eventMerge) add(events []event.Event, truncated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, events...)
	slices.SortStableFunc(m.events, func(a, b event.Event) int { return b.At.Compare(a.At) })
	m.truncated = m.truncated || truncated || len(m.events) > m.limit
	m.events = slices.Clip(m.events[:min(len(m.events), m.limit)])
}

func (m *eventMerge) reply() EventResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.Sort(m.unreachable)
	return EventResponse{Events: m.events, Unreachable: m.unreachable, Truncated: m.truncated}
}
