package fleet

// State is the state of a node's local backend server.
type State string

// States of a backend server.
const (
	// Ready means that the server takes requests.
	Ready State = "ready"
	// Draining means that the server takes no new requests.
	Draining State = "draining"
	// Absent means that no server is known or that it accepts no connections.
	Absent State = "absent"
)
