package exchange

// Error is a failure of an exchange before the head of the response was read.
type Error struct {
	// MaybeDelivered is set when the peer may have received the complete request.
	MaybeDelivered bool
	// Unresponsive is set when the peer did not acknowledge the request in time.
	Unresponsive bool
	// Closed is set when the peer had closed an idle connection and the request
	// certainly did not arrive.
	Closed bool
	Cause  error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
