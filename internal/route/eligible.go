package route

import (
	"slices"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// eligible reports whether a server may get the call: it was not tried before,
// no planned stop of it has started and its region is reachable.
func eligible(view *member.View, stops []config.Stop, request *Request, record *member.Record) bool {
	if slices.Contains(request.Excluded, record.ID) || !view.RegionReachable(record.Region) {
		return false
	}
	return !hasActiveStop(stops, request.Now, record)
}

func hasActiveStop(stops []config.Stop, now time.Time, record *member.Record) bool {
	for i := range stops {
		if stops[i].Started(now) && stops[i].Covers(record.ID, record.FailureDomain, record.Server.Service) {
			return true
		}
	}
	return false
}
