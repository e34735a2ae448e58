package retry

import (
	"sync"
	"time"
)

// windowBuckets divide the window of a ServiceBudget; requests leave it bucket
// by bucket.
const windowBuckets = 10

// ServiceBudget bounds the repeats that one node sends to one service to a ratio
// of its own requests for that service within a sliding window, plus a share of
// a slack. When every node keeps its own bound, the sum keeps the fleet's,
// without agreement. A node that restarts begins with its share of the slack
// only. It is safe for concurrent use.
type ServiceBudget struct {
	ratio  float64
	bucket time.Duration
	// epoch is a monotonic reading, so that a step of the clock moves nothing.
	epoch time.Time

	mu      sync.Mutex
	first   [windowBuckets]int
	repeats [windowBuckets]int
	// at is the number of the newest bucket.
	at int64
}

// NewServiceBudget returns a budget without history.
func NewServiceBudget(now time.Time, ratio float64, window time.Duration) *ServiceBudget {
	return &ServiceBudget{ratio: ratio, bucket: window / windowBuckets, epoch: now}
}

// RecordRequest counts a request.
func (b *ServiceBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.first[b.at%windowBuckets]++
}

// TakeRetry pays for a repeat; slack is this node's share of the fleet's slack.
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

// advance empties the buckets that left the window.
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
