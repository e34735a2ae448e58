package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of the sliding window of a ServiceBudget.
const windowBuckets = 10

// ServiceBudget bounds the retries that one node sends to one service to a ratio of
// the node's requests for that service within a sliding window, plus the node's
// share of a fleet-wide slack. If every node stays within its local bound, the fleet
// stays within the total without coordination. A restarted node has only its share
// of the slack at first. It is safe for concurrent use.
type ServiceBudget struct {
	ratio  float64
	bucket time.Duration
	// epoch is a monotonic clock reading, so that steps of the wall clock don't move
	// the window.
	epoch time.Time

	mu      sync.Mutex
	first   [windowBuckets]int
	repeats [windowBuckets]int
	// newest is the number of the newest bucket, counted from epoch.
	at int64
}

// NewServiceBudget returns a budget that has counted no requests yet.
func NewServiceBudget(now time.Time, ratio float64, window time.Duration) *ServiceBudget {
	return &ServiceBudget{ratio: ratio, bucket: window / windowBuckets, epoch: now}
}

// RecordRequest counts the first attempt of a request.
func (b *ServiceBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.first[b.at%windowBuckets]++
}

// TakeRetry counts a retry and returns true if the budget permits it. The slack is
// this node's share of the fleet's, in retries per window.
func (b *ServiceBudget) TakeRetry(now time.Time, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	first, repeats := 0, 0
	for i := range windowBuckets {
		first += b.first[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > b.ratio*float64(first)+slack {
		return false
	}
	b.repeats[b.at%windowBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (b *ServiceBudget) advance(now time.Time) {
	at := int64(now.Sub(b.epoch) / b.bucket)
	if at <= b.at {
		return
	}
	for i := max(b.at+1, at-windowBuckets+1); i <= at; i++ {
		b.first[i%windowBuckets], b.repeats[i%windowBuckets] = 0, 0
	}
	b.at = at
}
