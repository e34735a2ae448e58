package node

import "rosemaryladder.dev/rosemaryladder/internal/member"

// triggerElection makes a candidate try to acquire the reader lease as soon as
// the membership shows that a reader is dead, has left or has released the lease.
func (n *Node) triggerElection(change member.Change) {
	for _, record := range change.Records {
		if record.Before.Reader && (record.After.DeadOrLeft() || !record.After.Reader) {
			n.lease.keeper.TriggerAcquire()
		}
	}
}
