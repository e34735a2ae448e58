package fleet

// State is the state of the backend server beside a node.
type State string

// States of a backend server.
const (
	// Ready means that the server takes requests.
	Ready State = "ready"
	// Draining means that the server takes no new requests.
	Draining State = "draining"
	// Absent means that no server is known or that it has gone.
	Absent State = "absent"
)
