package call

import (
	"net/http"
	"strings"
)

// Headers of the caller protocol. docs/CALLERS.md describes them.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderDeadline   = "Rosemaryladder-Deadline-Ms"
	HeaderCallID     = "Rosemaryladder-Call-Id"
	HeaderResult     = "Rosemaryladder-Result"
	HeaderRun        = "Rosemaryladder-Run"
	HeaderAttempt    = "Rosemaryladder-Attempt"
	HeaderDepth      = "Rosemaryladder-Depth"
	HeaderLoad       = "Rosemaryladder-Load"
	headerPrefix     = "Rosemaryladder-"
	headerConnection = "Connection"
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

// isHopByHop reports whether a header concerns one connection only (RFC 9110,
// section 7.6.1). name is in canonical form.
func isHopByHop(name string) bool {
	switch name {
	case headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// isOwn reports whether a header is set by the nodes themselves.
func isOwn(name string) bool {
	return len(name) > len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix
}

// hasConnectionOptions reports whether the Connection header may name further
// headers that concern one connection only.
func hasConnectionOptions(header http.Header) bool {
	values := header[headerConnection]
	switch len(values) {
	case 0:
		return false
	case 1:
		return values[0] != "keep-alive" && values[0] != "close"
	default:
		return true
	}
}

// isConnectionOption reports whether the Connection header names the header.
func isConnectionOption(header http.Header, name string) bool {
	for _, value := range header[headerConnection] {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}
