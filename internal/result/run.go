package result

// RunState says whether a call ran on a backend server.
type RunState string

// The states that the Rosemaryladder-Run header can have.
const (
	// NotRun means that nothing was handed to a backend server, or that the
	// backend server said that it ran nothing.
	NotRun RunState = "not-run"
	// RunUnknown means that the call was handed over and its outcome is unknown.
	RunUnknown RunState = "unknown"
	// Ran means that the answer comes from the backend server.
	Ran RunState = "run"
)

// RunStateOf returns the run state that a refusal with the code reports.
func RunStateOf(code Code) RunState {
	if code >= OutcomeUnknown && code <= DeadlineUnknown {
		return RunUnknown
	}
	return NotRun
}
