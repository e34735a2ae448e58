package event

// Query selects events.
type Query struct {
	// Kind selects one kind; empty selects all.
	Kind Kind
	// Subject selects one subject; empty selects all.
	Subject string
	// Target selects the refusals of one target; empty selects all.
	Target string
	// Limit bounds the result; 0 means no bound.
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
