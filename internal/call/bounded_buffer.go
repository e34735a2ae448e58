package call

import "bytes"

// boundedBuffer buffers the bytes written to it up to a limit and discards all
// of them once the limit is exceeded. Writes never fail.
type boundedBuffer struct {
	bytes.Buffer
	limit      int
	overflowed bool
}

// Write implements io.Writer.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	if b.overflowed || b.Len()+len(p) > b.limit {
		b.overflowed = true
		b.Reset()
		return len(p), nil
	}
	return b.Buffer.Write(p)
}
