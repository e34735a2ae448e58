package claim

import "time"

// segmentName identifies a sealed segment. All its claims are older than its seal.
type segmentName struct {
	number   uint64
	sealedAt time.Time
}

// expired reports whether the retention of all claims in the segment has elapsed.
func (n segmentName) expired(now time.Time) bool { return now.Sub(n.sealedAt) > Retention }

// equal reports whether two names are the same. The stored time has a resolution of
// milliseconds.
func (n segmentName) equal(other segmentName) bool {
	return n.number == other.number && n.sealedAt.UnixMilli() == other.sealedAt.UnixMilli()
}
