package call

// Headers of the caller protocol, which docs/CALLERS.md describes.
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

// Headers between nodes. They are accepted only from the IP addresses of known
// nodes.
const (
	// headerHop marks a call from an outbound to an inbound proxy; hop
	// describes its value.
	headerHop = "Rosemaryladder-Hop"
	// headerClaimed contains, in a refusal of an inbound proxy, the ID of the
	// node that claimed the key and the fingerprint of the claimed call.
	headerClaimed = "Rosemaryladder-Claimed"
	// headerKept requests the retained response from the node with the claim;
	// its value is the fingerprint.
	headerKept = "Rosemaryladder-Kept"
)

// isMeshHeader reports whether a header belongs to the protocols between
// callers, nodes and backend servers. Such headers are set by the nodes and
// never forwarded.
func isMeshHeader(name string) bool {
	return len(name) > len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix
}
