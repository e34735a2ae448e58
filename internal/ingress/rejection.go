package ingress

import (
	"fmt"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// rejection is the error of a request that the server responds to itself.
type rejection struct {
	status  int
	code    result.Code
	message string
}

// Error implements error.
func (r *rejection) Error() string { return r.message }

// Unwrap returns the error with the result code.
func (r *rejection) Unwrap() error { return result.Errorf(r.code, "%s", r.message) }

func reject(status int, code result.Code, format string, args ...any) *rejection {
	return &rejection{status: status, code: code, message: fmt.Sprintf(format, args...)}
}
