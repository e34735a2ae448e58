package call

// Headers of the caller protocol. docs/CALLERS.md describes them.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderDeadline = "Rosemaryladder-Deadline-Ms"
	HeaderCallID   = "Rosemaryladder-Call-Id"
	HeaderResult   = "Rosemaryladder-Result"
	HeaderRun      = "Rosemaryladder-Run"
	HeaderAttempt  = "Rosemaryladder-Attempt"
	HeaderDepth    = "Rosemaryladder-Depth"
	HeaderLoad     = "Rosemaryladder-Load"
	headerPrefix   = "Rosemaryladder-"
)

// Headers between nodes. They are accepted only from the IPs of known nodes.
const (
	// headerHop marks a call that a front sends to a gate; hop describes its
	// value.
	headerHop = "Rosemaryladder-Hop"
	// headerClaimed names the node that claimed the key and the fingerprint of
	// the claimed call, in a refusal of a gate.
	headerClaimed = "Rosemaryladder-Claimed"
	// headerKept asks the claiming node for the kept answer; its value is the
	// fingerprint.
	headerKept = "Rosemaryladder-Kept"
)

// isMeshHeader reports whether a header is set by the nodes themselves.
func isMeshHeader(name string) bool {
	return len(name) > len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix
}
