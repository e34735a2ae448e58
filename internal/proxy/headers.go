package proxy

import "strings"

// Headers between nodes.
const (
	headerPrefix = "Rosemaryladder-"
	// headerHop marks a request of an outbound proxy and holds a hop.
	headerHop = "Rosemaryladder-Hop"
	// headerOutcome is the result code of an inbound proxy's response; 0 for the
	// response of a server.
	headerOutcome = "Rosemaryladder-Outcome"
	// headerArrived is set on a refusal when the request may have reached the
	// server.
	headerArrived = "Rosemaryladder-Arrived"
	// headerReport is the load of the inbound proxy's server.
	headerReport = "Rosemaryladder-Report"
	// HeaderVersion is the version of the configuration that the responding node
	// holds.
	HeaderVersion = "Rosemaryladder-Version"
	// HeaderResult is the result code of a refusal to a caller.
	HeaderResult = "Rosemaryladder-Result"
)

// isInternal reports whether a header belongs to the protocol between nodes.
func isInternal(name string) bool { return strings.HasPrefix(name, headerPrefix) }
