package event

// Query selects events.
type Query struct {
	// Kind selects events of one kind; empty selects all kinds.
	Kind Kind
	// Subject selects events with one subject; empty selects all subjects.
	Subject string
	// Target selects the refusals of one target; empty selects all events.
	Target string
	// Limit is the maximum number of events; 0 means no limit.
	Limit int
}

func (q Query) matches(event Event) bool {
	if q.Kind != "" && q.Kind != event.Kind {
		return false
	}
	if q.Target != "" && q.Target != event.Target {
		return false
	}
	return q.Subject == "" || q.Subject == event.Subject
}
