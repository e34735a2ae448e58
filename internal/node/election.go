package node

import "rosemaryladder.dev/rosemaryladder/internal/member"

// hurryElection makes a candidate try for the reader lease as soon as the
// membership shows that a reader is gone or gave up the lease.
func (n *Node) hurryElection(change member.Change) {
	for _, record := range change.Records {
		if record.Before.Reader && (record.After.DeadOrLeft() || !record.After.Reader) {
			n.lease.keeper.TriggerAcquire()
		}
	}
}
