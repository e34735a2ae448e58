package operator

import (
	"slices"
	"sync"

	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// eventMerger collects the newest events of many hosts. It holds at most the
// limit plus the response of one host at a time. It is safe for concurrent use.
type eventMerger struct {
	limit int

	mu          sync.Mutex
	events      []event.Event
	unreachable []string
	truncated   bool
}

func newEventMerger(limit int) *eventMerger {
	return &eventMerger{limit: limit, events: []event.Event{}}
}

// addResponse adds the response of one host. A host with an error is recorded as
// unreachable.
func (m *eventMerger) addResponse(host string, response EventResponse, err error) {
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.unreachable = append(m.unreachable, host)
		return
	}
	m.add(response.Events, response.Truncated)
}

// add adds events and discards the oldest above the limit.
func (m *eventMerger) add(events []event.Event, truncated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, events...)
	slices.SortStableFunc(m.events, func(a, b event.Event) int { return b.At.Compare(a.At) })
	m.truncated = m.truncated || truncated || len(m.events) > m.limit
	m.events = slices.Clip(m.events[:min(len(m.events), m.limit)])
}

func (m *eventMerger) response() EventResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.Sort(m.unreachable)
	return EventResponse{Events: m.events, Unreachable: m.unreachable, Truncated: m.truncated}
}
