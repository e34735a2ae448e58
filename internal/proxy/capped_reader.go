package proxy

import (
	"io"

	"github.com/pkg/errors"
)

// cappedReader fails when its reader has more than the given number of bytes left.
type cappedReader struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (r *cappedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errors.Errorf("the response exceeds its limit by %d bytes or more", -r.left)
	}
	return n, err
}
