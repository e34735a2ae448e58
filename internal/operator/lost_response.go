package operator

import "github.com/pkg/errors"

// lostResponse is the cause of an error when a request was sent and no complete
// response arrived.
type lostResponse struct{ cause error }

// Error implements error.
func (l *lostResponse) Error() string { return "no complete response: " + l.cause.Error() }

// Unwrap returns the error that prevented a complete response.
func (l *lostResponse) Unwrap() error { return l.cause }

// MayHaveRun reports whether the node may have acted on the request although the
// client returned err.
func MayHaveRun(err error) bool {
	var lost *lostResponse
	return errors.As(err, &lost)
}
