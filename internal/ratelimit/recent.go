package ratelimit

import "time"

// recentParts is the number of parts of a window that are counted apart. One more than the
// window has is kept, so that their sum covers a whole window at any time.
const recentParts = 5

// recent counts the requests that a node accepted in about the last window.
type recent struct {
	counts [recentParts + 1]int32
	part   int64
}

func (r *recent) advance(now, window time.Duration) {
	part := int64(now / (window / recentParts))
	for i := max(r.part+1, part-recentParts); i <= part; i++ {
		r.counts[i%int64(len(r.counts))] = 0
	}
	r.part = max(r.part, part)
}

func (r *recent) add(now, window time.Duration) {
	r.advance(now, window)
	r.counts[r.part%int64(len(r.counts))]++
}

func (r *recent) sum(now, window time.Duration) int64 {
	r.advance(now, window)
	var sum int64
	for _, count := range r.counts {
		sum += int64(count)
	}
	return sum
}
