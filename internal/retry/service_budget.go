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
	ratio       float64
	bucketWidth time.Duration
	// epoch is a monotonic clock reading, so that steps of the wall clock don't move
	// the window.
	epoch time.Time

	mu       sync.Mutex
	requests [windowBuckets]int
	retries  [windowBuckets]int
	// newest is the number of the newest bucket, counted from epoch.
	newest int64
}

// NewServiceBudget returns a budget that has counted no requests yet.
func NewServiceBudget(now time.Time, ratio float64, window time.Duration) *ServiceBudget {
	return &ServiceBudget{ratio: ratio, bucketWidth: window / windowBuckets, epoch: now}
}

// RecordRequest counts the first attempt of a request.
func (b *ServiceBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.newest%windowBuckets]++
}

// TakeRetry counts a retry and returns true if the budget permits it. The slack is
// this node's share of the fleet's, in retries per window.
func (b *ServiceBudget) TakeRetry(now time.Time, slack float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(requests)+slack {
		return false
	}
	b.retries[b.newest%windowBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (b *ServiceBudget) advance(now time.Time) {
	newest := int64(now.Sub(b.epoch) / b.bucketWidth)
	if newest <= b.newest {
		return
	}
	for i := max(b.newest+1, newest-windowBuckets+1); i <= newest; i++ {
		b.requests[i%windowBuckets], b.retries[i%windowBuckets] = 0, 0
	}
	b.newest = newest
}
