package exchange

import (
	"errors"
	"io"
	"math"
)

// ErrHeadTooLarge is returned when the head of a response exceeds the limit.
var ErrHeadTooLarge = errors.New("response head exceeds the size limit")

// limitReader bounds and checks the bytes read while a response head is expected, because
// http.ReadResponse reads a head of any size and accepts ambiguous lines.
type limitReader struct {
	reader    io.Reader
	remaining int64
	head      headChecker
}

// limitHead allows the given number of bytes until lift is called.
func (l *limitReader) limitHead(bytes int) { l.remaining = int64(bytes) }

// lift removes the limit.
func (l *limitReader) lift() { l.remaining = math.MaxInt64 }

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	l.remaining -= int64(n)
	l.head.add(p[:n])
	return n, err
}
