package exchange

import (
	"net/http"
	"strings"
)

const headerConnection = "Connection"

// IsHopByHop reports whether a header field applies to one connection only (RFC
// 9110, section 7.6.1). name is in canonical form.
func IsHopByHop(name string) bool {
	switch name {
	case headerConnection, "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	default:
		return false
	}
}

// HasConnectionOptions reports whether the Connection header may name further
// header fields that apply to one connection only.
func HasConnectionOptions(header http.Header) bool {
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

// IsConnectionOption reports whether the Connection header names the header
// field.
func IsConnectionOption(header http.Header, name string) bool {
	for _, value := range header[headerConnection] {
		for option := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}
