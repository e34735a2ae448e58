package operator

import (
	"fmt"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// warnings returns a warning for each target of a change whose service has no
// backend server in the node's membership, and for each stop that covers none of
// its hosts. The cause is often a mistyped name. They are not errors, because the
// host or service may still join.
func (a *api) warnings(change config.Change) []string {
	var warnings []string
	for _, upsert := range change.Targets {
		if len(a.View().Servers(upsert.Target.Service)) == 0 {
			warnings = append(warnings, fmt.Sprintf("target %s: no backend server of service %q is known", upsert.Target.Name, upsert.Target.Service))
		}
	}
	for _, upsert := range change.Stops {
		if len(a.covered(upsert.Stop)) == 0 {
			warnings = append(warnings, fmt.Sprintf("stop %s: its scope covers no host of the fleet", upsert.Stop.ID))
		}
	}
	return warnings
}
