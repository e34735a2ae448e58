package member

// RecordChange is a change to the record of one node.
type RecordChange struct {
	// Before is the zero Record when the node was unknown.
	Before Record
	// After is the zero Record when the record was removed from the table.
	After Record
}

// affectsPlan reports whether the change can alter the Plan of a node. Changes to
// the backend server or the reader lease cannot.
func (c RecordChange) affectsPlan() bool {
	before, after := c.Before, c.After
	return before.ID != after.ID || before.State != after.State ||
		before.Region != after.Region || before.FailureDomain != after.FailureDomain ||
		before.IP != after.IP || before.ControlPort != after.ControlPort
}

// Change is the difference between two consecutive views; View is the newer one.
type Change struct {
	View    *View
	Records []RecordChange
}

// Listener is notified of every change, in order and without the table's lock held.
// It must not block.
type Listener interface {
	MembershipChanged(Change)
}

// ListenerFunc adapts a function to Listener.
type ListenerFunc func(Change)

// MembershipChanged implements Listener.
func (f ListenerFunc) MembershipChanged(change Change) { f(change) }
