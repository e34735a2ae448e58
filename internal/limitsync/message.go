package limitsync

import "rosemaryladder.dev/rosemaryladder/internal/ratelimit"

// Path is the path on the inbound proxy's port that takes reports.
const Path = "/v1/usage"

// question is a report to another node.
type question struct {
	// Total is set when the receiver must count the report for the whole fleet itself, and
	// not pass it on. So no report goes round between nodes that each take another one for
	// the one that serves the fleet.
	Total  bool             `json:"t,omitempty"`
	Report ratelimit.Report `json:"r"`
}

// answer is the verdict in response.
type answer struct {
	Verdict ratelimit.Verdict `json:"v"`
	// AgeMs is the time since the verdict was true, in milliseconds.
	AgeMs int64 `json:"a,omitempty"`
}
