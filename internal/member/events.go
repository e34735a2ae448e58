package member

import (
	"fmt"

	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// NewEventListener returns a listener that records the changes that matter to an
// operator: nodes that join, leave, fail or recover, servers that change their
// state, and regions that become unreachable or return.
func NewEventListener(recorder event.Recorder) Listener {
	return &eventListener{recorder: recorder, unreachable: make(map[string]bool)}
}

// eventListener is called by one goroutine at a time.
type eventListener struct {
	recorder    event.Recorder
	unreachable map[string]bool
}

// MembershipChanged implements Listener.
func (l *eventListener) MembershipChanged(change Change) {
	for _, c := range change.Records {
		if kind, message := describe(c); message != "" {
			l.recorder.Record(event.Event{Kind: kind, Subject: c.After.ID, Message: message})
		}
	}
	l.regionsChanged(change.View)
}

func (l *eventListener) regionsChanged(view *View) {
	for region := range view.unreachable {
		if !l.unreachable[region] {
			l.recorder.Record(event.Event{Kind: event.KindMembership, Subject: region, Message: "the region is unreachable; its records are kept"})
		}
	}
	for region := range l.unreachable {
		if !view.unreachable[region] {
			l.recorder.Record(event.Event{Kind: event.KindRepair, Subject: region, Message: "the region is reachable again"})
		}
	}
	l.unreachable = view.unreachable
}

// describe returns no message for changes that do not matter to an operator.
func describe(c RecordChange) (event.Kind, string) {
	before, after := c.Before, c.After
	switch {
	case after.ID == "":
		return "", ""
	case before.ID == "":
		return event.KindMembership, fmt.Sprintf("the node joined at %s in %s", after.ControlAddress(), after.FailureDomain)
	case after.Incarnation > before.Incarnation:
		return event.KindMembership, "the node restarted"
	case after.State != before.State && after.State == Alive:
		return event.KindRepair, fmt.Sprintf("the node is alive again after it was %s", before.State)
	case after.State != before.State:
		return event.KindMembership, fmt.Sprintf("the node is %s", after.State)
	case after.Server.State == ServerNone && before.Server.State != ServerNone:
		return event.KindServer, fmt.Sprintf("the backend server of %s is gone", before.Server.Service)
	case after.Server.State != before.Server.State:
		return event.KindServer, fmt.Sprintf("the backend server of %s is %s", after.Server.Service, after.Server.State)
	default:
		return "", ""
	}
}
