package proxy

import (
	"io"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// chargedReader is the body of a request. While charging is set, the bytes that are read
// from it are taken from a budget.
type chargedReader struct {
	io.ReadCloser
	budget   *bufferBudget
	charging bool
	// taken is the part of the budget that the bytes hold.
	taken int64
}

// Read implements io.Reader. It fails with result.Overloaded without room in the budget.
func (r *chargedReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if !r.charging || n == 0 {
		return n, err
	}
	taken := r.budget.take(int64(n))
	r.taken += taken
	if taken < int64(n) {
		return 0, result.Errorf(result.Overloaded, "the node buffers %d bytes of bodies", r.budget.used.Load())
	}
	return n, err
}
