package result

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is an error with a result code. Its message names the affected key or
// host.
type Error struct {
	Code    Code
	Message string
	Cause   error
}

// Errorf returns an error with a code and without a cause.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with a code and the given cause.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements error. The cause follows the message.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Message
	}
	return e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause; nil when there is none.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of the first Error in the chain, OK for a nil error
// and Internal for any other error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}
