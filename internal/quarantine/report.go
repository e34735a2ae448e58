package quarantine

import "time"

// Request names the requests of a service that have the same fingerprint.
type Request struct {
	Service     string
	Fingerprint uint64
}

// Report says that the backend server beside a node stopped while it ran a
// request.
type Report struct {
	Request
	Node string
	At   time.Time
}

// Block says why requests are refused.
type Block struct {
	Request
	// Nodes are the nodes beside the backend servers that stopped, sorted.
	Nodes []string
	// Until is when the block ends.
	Until time.Time
}
