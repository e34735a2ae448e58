package proxy

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// refusalReason says why a request or an attempt has no response of a server.
type refusalReason struct {
	code    result.Code
	message string
	// maybeDelivered is set when the request may have reached a server, which counts
	// against the route's attempts and the retry budget even if it did not run.
	maybeDelivered bool
	// unreachable is set when the node sent no response.
	unreachable bool
	// retryAfter is the time after which the caller should come back; 0 for the default
	// of the code.
	retryAfter time.Duration
	// cancelled is set when the caller cancelled the request.
	cancelled bool
}

// notRun reports whether the request certainly has not run.
func (r *refusalReason) notRun() bool { return result.RunStateOf(r.code) == result.NotRun }

func newRefusal(code result.Code, message string) *refusalReason {
	return &refusalReason{code: code, message: message}
}
