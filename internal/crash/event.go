package crash

import (
	"slices"
	"time"
)

// event is one crash of a server.
type event struct {
	at time.Time
	// contents are those that may have caused the crash; empty when none may.
	contents []Fingerprint
}

// eventsOf returns the crashes of all records, ordered by time. Content is not charged
// with a crash when a server finished it later or at most vouchWindow before.
func eventsOf(records []ParsedRecord) []event {
	finished := make(map[Fingerprint]time.Time)
	for _, record := range records {
		for _, o := range record.Served {
			if o.At.After(finished[o.Content]) {
				finished[o.Content] = o.At
			}
		}
	}
	var events []event
	for _, record := range records {
		first := len(events)
		for _, o := range record.Crashed {
			// All occurrences of one crash of a node have the same time.
			i := slices.IndexFunc(events[first:], func(e event) bool { return e.at.Equal(o.At) })
			if i < 0 {
				i = len(events) - first
				events = append(events, event{at: o.At})
			}
			at, found := finished[o.Content]
			vouched := found && o.At.Sub(at) <= vouchWindow
			if o.Content != NoContent && !vouched {
				events[first+i].contents = append(events[first+i].contents, o.Content)
			}
		}
	}
	slices.SortFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	return events
}

// countCrashes counts the crashes of each content. Crashes within commonCauseWindow that
// no content explains show that the servers which ended with them may have a common
// cause, so each of them offsets one crash of a content; at least one is counted.
func countCrashes(events []event) map[Fingerprint]int {
	counts := make(map[Fingerprint]int)
	for len(events) > 0 {
		end := slices.IndexFunc(events, func(e event) bool { return e.at.Sub(events[0].at) >= commonCauseWindow })
		if end < 0 {
			end = len(events)
		}
		unexplained := 0
		together := make(map[Fingerprint]int)
		for _, e := range events[:end] {
			if len(e.contents) == 0 {
				unexplained++
			}
			for _, content := range e.contents {
				together[content]++
			}
		}
		for content, count := range together {
			counts[content] += max(1, count-unexplained)
		}
		events = events[end:]
	}
	return counts
}

// dropExplained returns the events without those that a content explains.
func dropExplained(events []event, explains func(Fingerprint) bool) []event {
	return slices.DeleteFunc(events, func(e event) bool { return slices.ContainsFunc(e.contents, explains) })
}
