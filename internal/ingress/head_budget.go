package ingress

import "sync/atomic"

// headBudget bounds the memory for the heads that are being read, over all connections.
// It is safe for concurrent use.
type headBudget struct {
	capacity int64
	used     atomic.Int64
}

// take reserves bytes and reports whether there was room for them.
func (b *headBudget) take(bytes int64) bool {
	if b.used.Add(bytes) > b.capacity {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// give returns bytes that were reserved.
func (b *headBudget) give(bytes int64) {
	if bytes > 0 {
		b.used.Add(-bytes)
	}
}
