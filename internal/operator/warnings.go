package operator

import (
	"fmt"

	"rosemaryladder.dev/rosemaryladder/internal/config"
)

// warnings names the parts of a change that concern nothing in the fleet as the
// node knows it, which is often a mistyped name. They are no errors, because the
// host or service may still come.
func (a *api) warnings(change config.Change) []string {
	var warnings []string
	for _, upsert := range change.Targets {
		if len(a.View().Servers(upsert.Target.Service)) == 0 {
			warnings = append(warnings, fmt.Sprintf("target %s: no backend server of service %q is known", upsert.Target.Name, upsert.Target.Service))
		}
	}
	for _, upsert := range change.Stops {
		if len(a.covered(upsert.Stop)) == 0 {
			warnings = append(warnings, fmt.Sprintf("stop %s: it covers no host of the fleet", upsert.Stop.ID))
		}
	}
	return warnings
}
