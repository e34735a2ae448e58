package fleet

// State is the state of the backend server beside a node.
type State string

// The states.
const (
	// Ready takes requests.
	Ready State = "ready"
	// Draining takes no new requests.
	Draining State = "draining"
	// Absent means that no server is known or that it is gone.
	Absent State = "absent"
)
