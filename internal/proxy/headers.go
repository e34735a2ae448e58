package proxy

import "strings"

// Headers between nodes.
const (
	headerPrefix = "Rosemaryladder-"
	// headerHop marks a request of a front and says how the gate must treat it.
	headerHop = "Rosemaryladder-Hop"
	// headerOutcome is the result code of a gate's answer; 0 for the answer of a
	// server.
	headerOutcome = "Rosemaryladder-Outcome"
	// headerArrived is set on a refusal when the request may have reached the
	// server.
	headerArrived = "Rosemaryladder-Arrived"
	// headerReport is the state of the gate's server.
	headerReport = "Rosemaryladder-Report"
	// HeaderVersion is the version of the configuration that the answering node
	// holds.
	HeaderVersion = "Rosemaryladder-Version"
	// HeaderResult tells a refused caller the result code.
	HeaderResult = "Rosemaryladder-Result"
)

// isInternal reports whether a header belongs to the protocol between nodes.
func isInternal(name string) bool { return strings.HasPrefix(name, headerPrefix) }
