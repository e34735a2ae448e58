package member

import "cmp"

// compareVersions orders two records of one node by incarnation, then sequence,
// then state. The order is total, so merging is commutative, associative and
// idempotent.
func compareVersions(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	)
}

// DeadOrLeft reports whether the node is dead or has left.
func (r Record) DeadOrLeft() bool { return r.State == Left || r.State == Dead }

// reachable reports whether exchanges with the node are expected to succeed.
func (r Record) reachable() bool { return r.State == Alive || r.State == Leaving }
