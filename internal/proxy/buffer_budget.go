package proxy

import "sync/atomic"

// bufferBudget bounds the bytes of bodies that a node buffers, over all requests. It is
// safe for concurrent use.
type bufferBudget struct {
	capacity int64
	used     atomic.Int64
}

func newBufferBudget(capacity int) *bufferBudget { return &bufferBudget{capacity: int64(capacity)} }

// take takes up to want bytes and returns how many it took.
func (b *bufferBudget) take(want int64) int64 {
	for {
		used := b.used.Load()
		taken := min(want, b.capacity-used)
		if taken <= 0 {
			return 0
		}
		if b.used.CompareAndSwap(used, used+taken) {
			return taken
		}
	}
}

// give returns bytes that were taken.
func (b *bufferBudget) give(taken int64) { b.used.Add(-taken) }
