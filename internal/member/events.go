package member

import (
	"fmt"

	"rosemaryladder.dev/rosemaryladder/internal/event"
)

// NewEventListener returns a listener that records the changes relevant to
// operators: nodes that join, leave, fail or recover, backend servers that change
// state, and regions that become unreachable or reachable.
func NewEventListener(recorder event.Recorder) Listener {
	return &eventListener{recorder: recorder, unreachable: make(map[string]bool)}
}

// eventListener must not be called concurrently.
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
	l.recordRegionChanges(change.View)
}

func (l *eventListener) recordRegionChanges(view *View) {
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

// describe returns the kind and message of the event for a change. The message is
// empty for changes that are not relevant to operators.
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
		return event.KindServer, fmt.Sprintf("the backend server of %s is no longer present", before.Server.Service)
	case after.Server.State != before.Server.State:
		return event.KindServer, fmt.Sprintf("the backend server of %s is %s", after.Server.Service, after.Server.State)
	default:
		return "", ""
	}
}
