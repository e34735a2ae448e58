package member

// RecordChange is the change of one node's record.
type RecordChange struct {
	// Before is the zero Record when the node was unknown.
	Before Record
	// After is the zero Record when the node was forgotten.
	After Record
}

// affectsPlan reports whether the change can alter whom nodes exchange records
// with. Changes of a backend server or of the reader do not.
func (c RecordChange) affectsPlan() bool {
	before, after := c.Before, c.After
	return before.ID != after.ID || before.State != after.State ||
		before.Region != after.Region || before.FailureDomain != after.FailureDomain ||
		before.IP != after.IP || before.ControlPort != after.ControlPort
}

// Change is what led from one published view to the next.
type Change struct {
	View    *View
	Records []RecordChange
}

// Listener is told of every change, in order and outside the table's lock. It
// must not block.
type Listener interface {
	MembershipChanged(Change)
}

// ListenerFunc adapts a function to Listener.
type ListenerFunc func(Change)

// MembershipChanged implements Listener.
func (f ListenerFunc) MembershipChanged(change Change) { f(change) }
