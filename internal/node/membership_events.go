package node

import (
	"fmt"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

// recordMembership leaves an event for each node or backend server whose state
// changed, and hurries the election when a reader is gone.
func (n *Node) recordMembership(change member.Change) {
	for _, record := range change.Records {
		n.recordState(record)
		if record.Before.Reader && (record.After.Gone() || !record.After.Reader) && n.lease != nil && n.lease.keeper != nil {
			n.lease.keeper.Nudge()
		}
	}
}

func (n *Node) recordState(record member.RecordChange) {
	before, after := record.Before, record.After
	if after.ID == "" {
		return
	}
	if before.State != after.State || before.Incarnation != after.Incarnation {
		message := fmt.Sprintf("node is %s since incarnation %d", operator.StateName(after.State), after.Incarnation)
		n.events.Record(event.Event{Kind: event.KindMembership, Subject: after.ID, Message: message})
	}
	if before.Server.State != after.Server.State {
		message := fmt.Sprintf("backend server of %s is %s", after.Server.Service, operator.ServerName(after.Server.State))
		n.events.Record(event.Event{Kind: event.KindServer, Subject: after.ID, Message: message})
	}
}
