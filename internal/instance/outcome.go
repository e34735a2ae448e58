package instance

// Outcome is the result of applying an announcement or an observation.
type Outcome string

// Outcomes.
const (
	// Applied means that the state of the server changed.
	Applied Outcome = "applied"
	// Unchanged means that the input was current but changed nothing.
	Unchanged Outcome = "unchanged"
	// Stale means that the input was older than the known state.
	Stale Outcome = "stale"
	// Unknown means that the input names a server that has not announced itself. It may
	// be one of another service that was given the address.
	Unknown Outcome = "unknown"
	// Departed means that a run other than the known one has left. The state did not change,
	// but announcements of that run are stale from then on.
	Departed Outcome = "departed"
	// Unordered means that it is not known whether the input is older than the known state.
	// It must not be acknowledged; one that is repeated will be applied.
	Unordered Outcome = "unordered"
)
