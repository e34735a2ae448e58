package result

// RunState says whether a backend server executed a call.
type RunState string

// Values of the Rosemaryladder-Run header.
const (
	// NotRun means that the call was not sent to a backend server, or that the
	// backend server reported that it did not execute the call.
	NotRun RunState = "not-run"
	// RunUnknown means that the call was sent to a backend server and its outcome
	// is unknown.
	RunUnknown RunState = "unknown"
	// Ran means that the response comes from the backend server.
	Ran RunState = "run"
)

// RunStateOf returns the run state that a refusal with the code reports.
func RunStateOf(code Code) RunState {
	if code >= OutcomeUnknown && code <= DeadlineUnknown {
		return RunUnknown
	}
	return NotRun
}
