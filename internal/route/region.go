package route

import "rosemaryladder.dev/rosemaryladder/internal/member"

// maxObjectiveShare is the share of the latency objective that a server's estimate
// may use. The gates shed calls before their average time reaches the objective,
// so a local server at the whole objective is full already.
const maxObjectiveShare = 0.7

// pickByRegion picks a server. The other region is used only when no server of the own
// region is expected to meet the latency objective and one of the other is. When
// none is, the call stays in its region, because crossing the link would cost
// volume and gain nothing.
func (b *Balancer) pickByRegion(candidates []candidate, view *member.View, request *Request) *candidate {
	limit := maxObjectiveShare * request.Target.Latency.Seconds()
	local, remote := splitByRegion(candidates, view.Self.Region)
	if len(local) == 0 {
		return b.pick(remote, request)
	}
	if anyWithin(local, limit) || !anyWithin(remote, limit) {
		return b.pick(local, request)
	}
	return b.pick(remote, request)
}

func (b *Balancer) pick(candidates []candidate, request *Request) *candidate {
	return &candidates[b.config.Algorithm.pick(candidates, request.Random)]
}

// splitByRegion divides candidates, which hold those of the own region first.
func splitByRegion(candidates []candidate, region string) (local, remote []candidate) {
	for i := range candidates {
		if candidates[i].record.Region != region {
			return candidates[:i], candidates[i:]
		}
	}
	return candidates, nil
}

func anyWithin(candidates []candidate, limit float64) bool {
	for i := range candidates {
		if candidates[i].estimate <= limit {
			return true
		}
	}
	return false
}
