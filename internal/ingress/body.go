package ingress

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// maxTrailerBytes bounds the trailer section of a chunked body, which is dropped.
const maxTrailerBytes = 8 << 10

// errBodyEnded is returned for reads after the response.
var errBodyEnded = errors.New("the body was read after the end of its exchange")

// body is the body of a request. It reads from the connection, whose reader waits for
// done.
type body struct {
	exchange *exchange
	// source is limited to a stated length, or decodes chunks.
	source io.Reader
	// remaining is the rest of a stated length; unknownLength for chunks.
	remaining int64
	// size is the stated length, or the number of bytes that were read of chunks.
	size int64
	// complete is set once the last byte was read.
	complete atomic.Bool
	// deadlineMu is held while the read deadline is set on behalf of the handler, and
	// while complete is set. After that the deadline is that of the next request.
	deadlineMu sync.Mutex
	done       chan struct{}
	doneOnce   sync.Once

	mu    sync.Mutex
	err   error
	asked bool
}

// unknownLength is the length of a body that ends with its last chunk.
const unknownLength = -1

func newBody(e *exchange) *body {
	b := &body{exchange: e, remaining: e.request.ContentLength, size: max(e.request.ContentLength, 0), done: make(chan struct{})}
	if b.remaining < 0 {
		b.source = httputil.NewChunkedReader(e.conn.reader)
	} else {
		b.source = e.conn.reader
	}
	return b
}

// Read implements io.Reader. An error ends the connection after the response.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if err := b.checkSize(); err != nil {
		return 0, b.fail(err)
	}
	if err := b.askForBody(); err != nil {
		return 0, b.fail(err)
	}
	if b.remaining >= 0 && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.source.Read(p)
	if b.remaining < 0 {
		b.size += int64(n)
	}
	// The limit may have changed while the read waited.
	if err := b.checkSize(); err != nil {
		return 0, b.fail(err)
	}
	if b.remaining >= 0 {
		b.remaining -= int64(n)
		if b.remaining == 0 {
			return n, b.finish()
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	switch {
	case err == io.EOF:
		if err := b.readTrailer(); err != nil {
			return n, b.fail(err)
		}
		return n, b.finish()
	case err != nil:
		return n, b.fail(err)
	default:
		return n, nil
	}
}

// checkSize compares the size with the limit that is in force now.
func (b *body) checkSize() error {
	if limit := b.exchange.conn.server.config.limits().BodyBytes; b.size > limit {
		return reject(http.StatusRequestEntityTooLarge, result.BodyTooLarge, "the body of %d bytes or more exceeds the limit of %d", b.size, limit)
	}
	return nil
}

// Close implements io.Closer. The exchange ends the body.
func (b *body) Close() error { return nil }

// askForBody sends the interim response 100 before the first read. The exchange runs
// alone, so that nothing else is being written.
func (b *body) askForBody() error {
	if b.asked || !expectsContinue(b.exchange.request) {
		return nil
	}
	b.asked = true
	_, err := b.exchange.conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), time.Time{})
	return err
}

// readTrailer drops the trailer section.
func (b *body) readTrailer() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := b.exchange.conn.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(strings.TrimRight(string(line), "\r\n")) == 0 {
			return nil
		}
		size += len(line)
	}
	return reject(http.StatusRequestHeaderFieldsTooLarge, result.BodyTooLarge, "the trailers of the request exceed %d bytes", maxTrailerBytes)
}

// finish records that the body was read completely; b.mu is held.
func (b *body) finish() error {
	b.err = io.EOF
	b.deadlineMu.Lock()
	b.complete.Store(true)
	b.deadlineMu.Unlock()
	b.doneOnce.Do(func() { close(b.done) })
	return io.EOF
}

// fail records an error; b.mu is held. The caller has left unless it only stopped
// sending or sent something invalid.
func (b *body) fail(err error) error {
	b.err = err
	var rejection *rejection
	if errors.Is(err, io.ErrUnexpectedEOF) || (!errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &rejection) && isConnError(err)) {
		b.exchange.conn.leave()
	}
	return err
}

// setReadDeadline bounds the reads of the body, unless it is complete.
func (b *body) setReadDeadline(deadline time.Time) error {
	b.deadlineMu.Lock()
	defer b.deadlineMu.Unlock()
	if b.isComplete() {
		return nil
	}
	return b.exchange.conn.net.SetReadDeadline(deadline)
}

// isComplete reports whether the body was read completely.
func (b *body) isComplete() bool { return b.complete.Load() }

// end makes further reads fail, so that the connection's reader can continue.
func (b *body) end() {
	if !b.isComplete() {
		// It ends a read that is still pending.
		b.exchange.conn.setReadDeadline(pastDeadline)
	}
	b.mu.Lock()
	if b.err == nil {
		b.err = errBodyEnded
	}
	b.mu.Unlock()
	b.doneOnce.Do(func() { close(b.done) })
}

func expectsContinue(request *http.Request) bool {
	return request.ProtoMinor > 0 && strings.EqualFold(request.Header.Get("Expect"), "100-continue")
}
