package ingress

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeBufferBytes is the size of the buffer of a response that is being written.
	writeBufferBytes = 4 << 10
	// maxWriteBytes is the largest part of a response that is written under one write
	// timeout.
	maxWriteBytes = 64 << 10
)

var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// responseWriter writes the response of an exchange when its turn comes. A response
// without a stated length is held until it is flushed or complete.
type responseWriter struct {
	exchange *exchange
	header   http.Header
	status   int
	// held is the part of a body that is written before the head.
	held []byte
	// length is the stated length of the body, and written the part that was written.
	length, written int64
	// out is set once the head is written.
	out     *bufio.Writer
	chunked io.WriteCloser
	// deadline ends the writes; zero for none.
	deadline time.Time
	err      error
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim responses are not forwarded.
func (w *responseWriter) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.hasBody() {
		return len(p), nil
	}
	if w.out == nil && w.header.Get("Content-Length") == "" && len(w.held)+len(p) <= writeBufferBytes {
		w.held = append(w.held, p...)
		return len(p), nil
	}
	if w.writeHead(unknownLength) != nil {
		return 0, w.err
	}
	return w.writeBody(p)
}

// FlushError sends what was written so far; http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.WriteHeader(http.StatusOK)
	if w.writeHead(unknownLength) == nil {
		w.err = w.out.Flush()
	}
	return w.err
}

// SetReadDeadline bounds the reads of the request body; http.ResponseController calls
// it.
func (w *responseWriter) SetReadDeadline(deadline time.Time) error {
	if w.exchange.body == nil {
		return nil
	}
	return w.exchange.body.setReadDeadline(deadline)
}

// SetWriteDeadline bounds the writes of the response in addition to the write timeout;
// http.ResponseController calls it. The zero time removes the bound.
func (w *responseWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

// EnableFullDuplex has no effect: a body can always be read beside the response.
func (w *responseWriter) EnableFullDuplex() error { return nil }

// hasBody reports whether the response may have a body (RFC 9112, section 6.3).
func (w *responseWriter) hasBody() bool {
	return (w.exchange.request == nil || w.exchange.request.Method != http.MethodHead) && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// writeHead waits for the turn of the response and writes its head, once. complete is
// the length of a body that is known to be complete, or unknownLength.
func (w *responseWriter) writeHead(complete int) error {
	if w.out != nil || w.err != nil {
		return w.err
	}
	if !w.exchange.awaitTurn() {
		w.err = w.exchange.ctx.Err()
		return w.err
	}
	w.out = writeBuffers.Get().(*bufio.Writer)
	w.out.Reset(connWriter{w})
	closes := w.exchange.closesConn(strings.EqualFold(w.header.Get("Connection"), "close"))
	w.writeFields(complete, closes)
	held := w.held
	w.held = nil
	if len(held) > 0 {
		_, _ = w.writeBody(held)
	}
	return w.err
}

// writeFields writes the status line and the header fields. Errors of out are sticky
// and show when it is flushed.
func (w *responseWriter) writeFields(complete int, closes bool) {
	out := w.out
	_, _ = out.WriteString("HTTP/1.1 " + strconv.Itoa(w.status) + " " + http.StatusText(w.status) + "\r\n")
	for name, values := range w.header {
		if name == "Connection" || name == "Transfer-Encoding" || name == "Content-Length" {
			continue
		}
		for _, value := range values {
			writeField(out, name, value)
		}
	}
	if w.header.Get("Date") == "" {
		writeField(out, "Date", time.Now().UTC().Format(http.TimeFormat))
	}
	w.writeFraming(complete)
	if closes {
		writeField(out, "Connection", "close")
	}
	_, _ = out.WriteString("\r\n")
}

// writeFraming writes how the end of the body is found.
func (w *responseWriter) writeFraming(complete int) {
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case err == nil && length >= 0:
		w.length = length
	case complete != unknownLength && w.hasBody():
		w.length = int64(complete)
	}
	switch {
	case w.length != unknownLength:
		writeField(w.out, "Content-Length", strconv.FormatInt(w.length, 10))
	case !w.hasBody():
	case w.exchange.request.ProtoMinor > 0:
		writeField(w.out, "Transfer-Encoding", "chunked")
		w.chunked = httputil.NewChunkedWriter(w.out)
	}
}

func (w *responseWriter) writeBody(p []byte) (int, error) {
	if w.length != unknownLength && w.written+int64(len(p)) > w.length {
		w.err = errors.Errorf("the body exceeds its stated length of %d bytes", w.length)
		return 0, w.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	var out io.Writer = w.out
	if w.chunked != nil {
		out = w.chunked
	}
	n, err := out.Write(p)
	w.written += int64(n)
	if err != nil {
		w.err = err
	}
	return n, err
}

// discard drops a response that has not begun. It returns false when it has, or when it
// can't be written.
func (w *responseWriter) discard() bool {
	if w.out != nil || w.err != nil {
		return false
	}
	w.header, w.status, w.held = make(http.Header), 0, nil
	return true
}

// finish completes the response.
func (w *responseWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	if err := w.writeHead(len(w.held)); err != nil {
		return err
	}
	if w.hasBody() && w.length != unknownLength && w.written < w.length {
		return errors.Errorf("the body has %d of %d stated bytes", w.written, w.length)
	}
	if w.chunked != nil {
		if err := w.chunked.Close(); err != nil {
			return err
		}
		// The chunked writer leaves the trailer section to its caller.
		if _, err := w.out.WriteString("\r\n"); err != nil {
			return err
		}
	}
	return w.out.Flush()
}

// release returns the buffer to its pool.
func (w *responseWriter) release() {
	if w.out != nil {
		w.out.Reset(nil)
		writeBuffers.Put(w.out)
	}
}

// connWriter writes a response to its connection.
type connWriter struct{ response *responseWriter }

// Write implements io.Writer.
func (w connWriter) Write(p []byte) (int, error) {
	return w.response.exchange.conn.write(p, w.response.deadline)
}

func writeField(out *bufio.Writer, name, value string) {
	_, _ = out.WriteString(name)
	_, _ = out.WriteString(": ")
	_, _ = out.WriteString(value)
	_, _ = out.WriteString("\r\n")
}
