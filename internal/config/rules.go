package config

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Rules are conditions on a change that depend on the deployment. They are
// checked only before a change is written, never on an accepted document, so
// that nodes with different settings accept the same documents.
type Rules struct {
	// MinimumDeadline returns the shortest deadline that a call of the service
	// can meet, given the latency between the regions where the service runs; nil
	// means no minimum.
	MinimumDeadline func(service string) time.Duration
}

// Check returns an error for the first target that breaks a rule.
func (r Rules) Check(targets []Target) error {
	if r.MinimumDeadline == nil {
		return nil
	}
	for _, target := range targets {
		if minimum := r.MinimumDeadline(target.Service); target.Deadline < minimum {
			return result.Errorf(result.ObjectiveImpossible, "target %q: key %q: value %q is below the latency of %s between the regions where service %q runs", target.Name, "deadline", target.Deadline, minimum, target.Service)
		}
	}
	return nil
}
