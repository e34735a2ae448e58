package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Body is a request body. Its first part is buffered, so that a failed attempt
// can be retried; the rest, if any, can be sent only once.
type Body struct {
	// Buffered is the part in memory.
	Buffered []byte
	buffer   *bytes.Buffer
	// rest is nil when the complete body is buffered.
	rest io.Reader
	// Length is -1 when it is unknown; the body is then sent chunked.
	Length int64
	// restConsumed is set once sending rest has started.
	restConsumed bool
}

// maxPooledBodyBytes is the capacity of the largest buffer that returns to the
// pool, so that a few large bodies don't make every later small one hold as much
// memory.
const maxPooledBodyBytes = 64 << 10

var bodyBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ReadBody reads up to limit bytes of a request body into memory.
func ReadBody(r *http.Request, limit int) (*Body, error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	buffer := bodyBuffers.Get().(*bytes.Buffer)
	body := &Body{buffer: buffer, Length: r.ContentLength}
	if r.ContentLength > 0 {
		// ReadFrom needs bytes.MinRead free bytes to detect the end of the input. A larger
		// buffer is made only for bytes that have arrived.
		buffer.Grow(int(min(r.ContentLength, int64(limit), maxPooledBodyBytes)) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, int64(limit)))
	if err != nil {
		body.Release()
		return nil, err
	}
	body.Buffered = buffer.Bytes()
	switch {
	case r.ContentLength >= 0 && n == r.ContentLength:
	case n < int64(limit) && r.ContentLength < 0:
		body.Length = n
	default:
		body.rest = r.Body
	}
	return body, nil
}

// IsBuffered reports whether the complete body is buffered.
func (b *Body) IsBuffered() bool { return b.rest == nil }

// CanSend reports whether the body can still be sent from its start.
func (b *Body) CanSend() bool { return !b.restConsumed }

// errRestConsumed is returned for a body of which an earlier attempt has read a part
// that is not buffered.
var errRestConsumed = errors.New("the rest of the request body has been read by an earlier attempt")

// takeRest gives the reader of the part that is not buffered to one attempt, which owns
// it from then on, also after the attempt has failed: its goroutine may still read.
func (b *Body) takeRest() (io.Reader, bool) {
	if b.restConsumed {
		return nil, false
	}
	b.restConsumed = true
	return b.rest, true
}

// Release returns the buffer to its pool. The body must not be in use.
func (b *Body) Release() {
	if b.buffer == nil {
		return
	}
	if b.buffer.Cap() <= maxPooledBodyBytes {
		b.buffer.Reset()
		bodyBuffers.Put(b.buffer)
	}
	b.buffer, b.Buffered = nil, nil
}

// Fingerprint returns the hash of method, request URI, length and buffered body.
// The body of a claimed call is always buffered completely.
func (b *Body) Fingerprint(method, uri string) uint64 {
	hash := xxhash.New()
	// Writes to a hash never fail.
	_, _ = hash.WriteString(method)
	_, _ = hash.WriteString(" ")
	_, _ = hash.WriteString(uri)
	_, _ = hash.WriteString(" ")
	_, _ = hash.WriteString(strconv.FormatInt(b.Length, 10))
	_, _ = hash.WriteString("\n")
	_, _ = hash.Write(b.Buffered)
	return hash.Sum64()
}
