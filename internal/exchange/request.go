package exchange

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"
)

// maxInlineBodyBytes is the size of the largest buffered body that is copied
// behind the head, so that both are sent in one write.
const maxInlineBodyBytes = 16 << 10

// HeaderField is a header field that a node adds to a request.
type HeaderField struct {
	Name  string
	Value string
}

// Request is a request as it is written to a connection.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	// SkipHeader reports the header fields that are not forwarded; nil forwards
	// all that are not hop-by-hop.
	SkipHeader   func(name string) bool
	AddedHeaders []HeaderField
	Body         *Body
	// AckTimeout bounds the wait for the first byte from the peer, of an interim
	// response for example; 0 waits until the context ends.
	AckTimeout time.Duration
	// KeepWaiting is called when AckTimeout has passed and the peer may have the
	// complete request: true keeps waiting until the context ends; false or a nil
	// function ends the exchange with an error.
	KeepWaiting func() bool
	// ExpectContinue sends the body only after the peer's interim response 100,
	// so that an unresponsive peer certainly does not have the complete
	// request.
	ExpectContinue bool
	// Matches reports whether a response belongs to the request; nil accepts
	// every one. kept is set when the connection carried other requests before, so that
	// the response may belong to one of them or to none.
	Matches func(response *http.Response, kept bool) bool

	// OnSent is called when the request, but for the part of its body that is not
	// buffered, has been written or will not be written; nil for none.
	OnSent func()
	// MayResend is called, after OnSent, before a request that did not arrive is sent
	// on another connection; OnSent is then called again. Nil allows it.
	MayResend func() bool

	copyResult chan error
}

var headBuffers = sync.Pool{New: func() any { buffer := make([]byte, 0, 2048); return &buffer }}

func (r *Request) appendHead(b []byte) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	hasOptions := HasConnectionOptions(r.Header)
	for name, values := range r.Header {
		if r.skipsHeader(name) || (hasOptions && IsConnectionOption(r.Header, name)) {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	for _, field := range r.AddedHeaders {
		b = appendField(b, field.Name, field.Value)
	}
	if r.expectsContinue() {
		b = appendField(b, "Expect", "100-continue")
	}
	b = r.appendFraming(b)
	return append(b, "\r\n"...)
}

func (r *Request) appendFraming(b []byte) []byte {
	switch {
	case r.Body.Length < 0:
		return appendField(b, "Transfer-Encoding", "chunked")
	case r.Body.Length > 0 || usuallyHasBody(r.Method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, r.Body.Length, 10)
		return append(b, "\r\n"...)
	default:
		return b
	}
}

func (r *Request) skipsHeader(name string) bool {
	return IsHopByHop(name) || name == "Content-Length" || name == "Expect" || (r.SkipHeader != nil && r.SkipHeader(name))
}

// expectsContinue reports whether there is a body that waits for the interim
// response.
func (r *Request) expectsContinue() bool { return r.ExpectContinue && r.Body.Length != 0 }

// writeHead sends only the head.
func (r *Request) writeHead(c *conn) error {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	head := r.appendHead((*buffer)[:0])
	*buffer = head[:0]
	_, err := c.Write(head)
	return err
}

// write sends the head and the buffered body. It reports whether a complete head may
// have left; without one no peer runs a request. A goroutine sends the rest of a body
// that is not fully buffered; see isBodySent.
func (r *Request) write(c *conn) (headSent bool, err error) {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	head := r.appendHead((*buffer)[:0])
	headBytes := len(head)
	buffered := r.Body.Buffered
	if r.Body.Length >= 0 && len(buffered) <= maxInlineBodyBytes {
		head = append(head, buffered...)
		buffered = nil
	}
	*buffer = head[:0]
	if n, err := c.Write(head); err != nil {
		return n >= headBytes, err
	}
	return true, r.writeBody(c, buffered)
}

func (r *Request) writeBody(c *conn, buffered []byte) error {
	if r.Body.Length >= 0 {
		if len(buffered) > 0 {
			if _, err := c.Write(buffered); err != nil {
				return err
			}
		}
		if r.Body.IsBuffered() {
			return nil
		}
		return r.copyRest(c, nil)
	}
	chunked := httputil.NewChunkedWriter(c)
	if _, err := chunked.Write(buffered); err != nil {
		return err
	}
	return r.copyRest(c, chunked)
}

// copyRest sends the part of the body that is not buffered. It runs concurrently
// with reading the response, because a server may respond before it has read the
// complete body.
func (r *Request) copyRest(c *conn, chunked io.WriteCloser) error {
	rest, ok := r.Body.takeRest()
	if !ok {
		return errRestConsumed
	}
	if err := c.setUserTimeout(0); err != nil {
		return err
	}
	remaining := r.Body.Length - int64(len(r.Body.Buffered))
	copyResult := make(chan error, 1)
	r.copyResult = copyResult
	go func() {
		buffer := CopyBuffers.Get().(*[]byte)
		defer CopyBuffers.Put(buffer)
		if chunked == nil {
			copyResult <- copyExactly(c, rest, remaining, *buffer)
			return
		}
		copyResult <- copyChunked(c, chunked, rest, *buffer)
	}()
	return nil
}

func (r *Request) reportSent() {
	if r.OnSent != nil {
		r.OnSent()
	}
}

// mayResend reports whether the request can be sent once more from its start.
func (r *Request) mayResend() bool {
	return r.Body.CanSend() && (r.MayResend == nil || r.MayResend())
}

// isBodySent reports whether the complete body has been sent.
func (r *Request) isBodySent() bool {
	if r.copyResult == nil {
		return true
	}
	select {
	case err := <-r.copyResult:
		return err == nil
	default:
		return false
	}
}

func copyExactly(c *conn, from io.Reader, length int64, buffer []byte) error {
	n, err := io.CopyBuffer(onlyWriter{c}, io.LimitReader(from, length), buffer)
	if err == nil && n < length {
		err = io.ErrUnexpectedEOF
	}
	return closeOnError(c, err)
}

func copyChunked(c *conn, chunked io.WriteCloser, from io.Reader, buffer []byte) error {
	_, err := io.CopyBuffer(onlyWriter{chunked}, from, buffer)
	if err == nil {
		err = chunked.Close()
	}
	if err == nil {
		// The chunked writer leaves the trailer section to its caller.
		_, err = c.Write([]byte("\r\n"))
	}
	return closeOnError(c, err)
}

// closeOnError closes the connection when the body could not be sent completely,
// so that the peer doesn't wait for the rest.
func closeOnError(c *conn, err error) error {
	if err != nil {
		c.Close()
	}
	return err
}

// onlyWriter hides ReadFrom, which would bypass the pooled buffer.
type onlyWriter struct{ io.Writer }

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
