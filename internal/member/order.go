package member

import "cmp"

// compareVersions orders two records of one node: by incarnation, then by
// sequence, then by state. The order is total, so records merge to the same
// result in any order and with any repetition.
func compareVersions(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(a.State, b.State),
	)
}

// DeadOrLeft reports whether the node has left or died.
func (r Record) DeadOrLeft() bool { return r.State == Left || r.State == Dead }

// reachable reports whether exchanges with the node can be expected to succeed.
func (r Record) reachable() bool { return r.State == Alive || r.State == Leaving }
