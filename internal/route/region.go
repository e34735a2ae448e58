package route

import "rosemaryladder.dev/rosemaryladder/internal/member"

// maxObjectiveShare is the highest estimate, as a share of the latency objective,
// at which a server is expected to meet the objective. Inbound proxies shed calls
// before their mean time reaches the objective, so a local server whose estimate
// equals the objective is already full.
const maxObjectiveShare = 0.7

// pickByRegion picks a server. It uses the other region only when no server of
// the local region is expected to meet the latency objective and a server of
// the other region is. When none is, the call stays in its region, because
// crossing the link would add traffic without a benefit.
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

// splitByRegion splits candidates, which hold those of the local region first.
func splitByRegion(candidates []candidate, region string) (local, remote []candidate) {
	for i := range candidates {
		if candidates[i].record.Region != region {
			return candidates[:i], candidates[i:]
		}
	}
	return candidates, nil
}

// anyWithin reports whether the estimate of any candidate is at most the limit
// in seconds.
func anyWithin(candidates []candidate, limit float64) bool {
	for i := range candidates {
		if candidates[i].estimate <= limit {
			return true
		}
	}
	return false
}
