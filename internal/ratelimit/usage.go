package ratelimit

// Usage counts requests of a workspace.
type Usage struct {
	Workspace string `json:"w"`
	// Asked is the number of requests that came, Accepted the number that was let through
	// and not returned. It is negative when more were returned than let through.
	Asked    int64 `json:"a"`
	Accepted int64 `json:"c"`
}

// Report is the usage since the report before.
type Report struct {
	// Source identifies the process that reports, and Sequence the report.
	Source   string `json:"s"`
	Sequence uint64 `json:"q"`
	// Nodes is the number of nodes whose usage the report covers.
	Nodes int     `json:"n"`
	Usage []Usage `json:"u,omitempty"`
}
