package quarantine

import "time"

// Request identifies the requests of a service with the same fingerprint.
type Request struct {
	Service     string
	Fingerprint uint64
}

// Report records that the backend server of a node crashed while it ran a request.
type Report struct {
	Request
	Node string
	At   time.Time
}

// Block describes why and until when requests are refused.
type Block struct {
	Request
	// Nodes lists all nodes that reported a crash for the request, sorted, also those
	// whose crashes lie before the ones that started the block.
	Nodes []string
	// Until is when the block ends.
	Until time.Time
}
