package node

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// minimumDeadline returns rules whose minimum deadline is the round trip between
// regions for a service that runs in more than one region, and 0 for any other.
func minimumDeadline(view func() *member.View, regionLatency time.Duration) config.Rules {
	return config.Rules{MinimumDeadline: func(service string) time.Duration {
		regions := make(map[string]bool)
		for _, record := range view().Servers(service) {
			regions[record.Region] = true
		}
		if len(regions) < 2 {
			return 0
		}
		return 2 * regionLatency
	}}
}
