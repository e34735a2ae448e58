package exchange

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"
)

// inlineBody is the largest kept body that is copied behind the head, so that
// both leave in one write.
const inlineBody = 16 << 10

// HeaderField is a header that a node adds to a request.
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
	// SkipHeader reports the headers that are not passed on; nil passes all that do not
	// concern a single connection.
	SkipHeader   func(name string) bool
	AddedHeaders []HeaderField
	Body         *Body
	// AckTimeout bounds the wait for the first sign of the peer, an interim answer
	// for example; 0 waits until the context ends.
	AckTimeout time.Duration
	// KeepWaiting is asked when the first sign of the peer is overdue although it may
	// have the whole request: true waits on until the context ends. nil gives up.
	KeepWaiting func() bool
	// ExpectContinue sends the body only after the peer's interim answer 100, so that a
	// silent peer certainly does not have the request.
	ExpectContinue bool
	// Matches reports whether an answer belongs to the request; nil accepts every one.
	Matches func(*http.Response) bool

	copying chan error
}

var headBuffers = sync.Pool{New: func() any { buffer := make([]byte, 0, 2048); return &buffer }}

// appendHead appends the request head.
func (o *Request) appendHead(b []byte) []byte {
	b = append(b, o.Method...)
	b = append(b, ' ')
	b = append(b, o.URI...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", o.Host)
	options := HasConnectionOptions(o.Header)
	for name, values := range o.Header {
		if o.skips(name) || (options && IsConnectionOption(o.Header, name)) {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	for _, added := range o.AddedHeaders {
		b = appendField(b, added.Name, added.Value)
	}
	if o.holdsBody() {
		b = appendField(b, "Expect", "100-continue")
	}
	b = o.appendFraming(b)
	return append(b, "\r\n"...)
}

func (o *Request) appendFraming(b []byte) []byte {
	switch {
	case o.Body.Length < 0:
		return appendField(b, "Transfer-Encoding", "chunked")
	case o.Body.Length > 0 || usuallyHasBody(o.Method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, o.Body.Length, 10)
		return append(b, "\r\n"...)
	default:
		return b
	}
}

func (o *Request) skips(name string) bool {
	return IsHopByHop(name) || name == "Content-Length" || name == "Expect" || (o.SkipHeader != nil && o.SkipHeader(name))
}

// holdsBody reports whether there is a body that waits for the peer.
func (o *Request) holdsBody() bool { return o.ExpectContinue && o.Body.Length != 0 }

// writeHead sends the head alone.
func (o *Request) writeHead(c *conn) error {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	head := o.appendHead((*buffer)[:0])
	*buffer = head[:0]
	_, err := c.Write(head)
	return err
}

// write sends head and kept body. begun reports whether any byte may have left.
// The rest of a body that is not kept is sent by a goroutine; copied waits for
// it.
func (o *Request) write(c *conn) (begun bool, err error) {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	head := o.appendHead((*buffer)[:0])
	kept := o.Body.Buffered
	if o.Body.Length >= 0 && len(kept) <= inlineBody {
		head = append(head, kept...)
		kept = nil
	}
	*buffer = head[:0]
	if n, err := c.Write(head); err != nil {
		return n > 0, err
	}
	return true, o.writeBody(c, kept)
}

func (o *Request) writeBody(c *conn, kept []byte) error {
	if o.Body.Length >= 0 {
		if len(kept) > 0 {
			if _, err := c.Write(kept); err != nil {
				return err
			}
		}
		if !o.Body.IsBuffered() {
			o.copyRest(c, nil)
		}
		return nil
	}
	chunked := httputil.NewChunkedWriter(c)
	if _, err := chunked.Write(kept); err != nil {
		return err
	}
	o.copyRest(c, chunked)
	return nil
}

// copyRest sends the part of the body that is not kept. It runs beside the
// reading of the answer, because a server may answer before it has read all.
func (o *Request) copyRest(c *conn, chunked io.WriteCloser) {
	o.Body.restTaken = true
	rest := o.Body.rest
	remaining := o.Body.Length - int64(len(o.Body.Buffered))
	copying := make(chan error, 1)
	o.copying = copying
	go func() {
		buffer := CopyBuffers.Get().(*[]byte)
		defer CopyBuffers.Put(buffer)
		if chunked == nil {
			copying <- copyExactly(c, rest, remaining, *buffer)
			return
		}
		copying <- copyChunked(c, chunked, rest, *buffer)
	}()
}

// sent reports whether the whole body has been sent.
func (o *Request) sent() bool {
	if o.copying == nil {
		return true
	}
	select {
	case err := <-o.copying:
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

// closeOnError closes the connection when the body could not be sent whole, so
// that the peer doesn't wait for the rest.
func closeOnError(c *conn, err error) error {
	if err != nil {
		c.Close()
	}
	return err
}

// onlyWriter hides ReadFrom, which would ignore the pooled buffer.
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
