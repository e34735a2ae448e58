package proxy

import (
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// refusal is the reason why an attempt has no answer of a server.
type refusal struct {
	code    result.Code
	message string
	// arrived is set when the request may have reached a server, which counts
	// against the attempts of the route and the budget even if it did not run.
	arrived bool
	// unreachable is set when nothing was heard from the node.
	unreachable bool
	// cancelled is set when the caller gave up.
	cancelled bool
}

// notRun reports whether the request certainly has not run.
func (r *refusal) notRun() bool { return result.RunStateOf(r.code) == result.NotRun }

func refuse(code result.Code, message string) *refusal {
	return &refusal{code: code, message: message}
}
