package exchange

// Error is the failure of an exchange before the head of its answer.
type Error struct {
	// Begun is set when the peer may have received the whole request.
	Begun bool
	// Silent is set when the peer did not acknowledge the request in time.
	Silent bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
