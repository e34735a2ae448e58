package claim

import "time"

// segmentName names a sealed segment. All its claims are older than its seal.
type segmentName struct {
	number   uint64
	sealedAt time.Time
}

// expired reports whether the retention of all claims in the segment has ended.
func (n segmentName) expired(now time.Time) bool { return now.Sub(n.sealedAt) > Retention }
