package routing

// Workspace is a customer of the operators, whose callers identify themselves by keys.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of a route; nil leaves the route's.
	Priority *int
	// RatePerSecond bounds the requests of the workspace over all nodes, beside a burst of
	// Burst requests; 0 for no limit.
	RatePerSecond float64
	Burst         float64
}

// IsLimited reports whether the workspace has a rate limit.
func (w *Workspace) IsLimited() bool { return w.RatePerSecond > 0 }

// KeyedWorkspace is a workspace with its keys, as the operators configure it.
type KeyedWorkspace struct {
	Workspace
	// Keys may be empty when all of them were withdrawn; nil is an error.
	Keys []string
}
