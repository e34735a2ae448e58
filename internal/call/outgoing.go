package call

import (
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
)

// inlineBody is the largest kept body that is copied behind the head, so that
// both leave in one write.
const inlineBody = 16 << 10

// field is a header that a node adds to a request.
type field struct {
	name  string
	value string
}

// outgoing is a request as it is written to a connection.
type outgoing struct {
	method  string
	uri     string
	host    string
	header  http.Header
	added   []field
	body    *body
	copying chan error
}

var headBuffers = sync.Pool{New: func() any { buffer := make([]byte, 0, 2048); return &buffer }}

// appendHead appends the request head.
func (o *outgoing) appendHead(b []byte) []byte {
	b = append(b, o.method...)
	b = append(b, ' ')
	b = append(b, o.uri...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", o.host)
	options := hasConnectionOptions(o.header)
	for name, values := range o.header {
		if isHopByHop(name) || isOwn(name) || name == "Content-Length" || (options && isConnectionOption(o.header, name)) {
			continue
		}
		for _, value := range values {
			b = appendField(b, name, value)
		}
	}
	for _, added := range o.added {
		b = appendField(b, added.name, added.value)
	}
	b = o.appendFraming(b)
	return append(b, "\r\n"...)
}

func (o *outgoing) appendFraming(b []byte) []byte {
	switch {
	case o.body.length < 0:
		return appendField(b, "Transfer-Encoding", "chunked")
	case o.body.length > 0 || usuallyHasBody(o.method):
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, o.body.length, 10)
		return append(b, "\r\n"...)
	default:
		return b
	}
}

// write sends head and kept body. begun reports whether any byte may have left.
// The rest of a body that is not kept is sent by a goroutine; copied waits for
// it.
func (o *outgoing) write(c *conn) (begun bool, err error) {
	buffer := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buffer)
	head := o.appendHead((*buffer)[:0])
	kept := o.body.kept
	if o.body.length >= 0 && len(kept) <= inlineBody {
		head = append(head, kept...)
		kept = nil
	}
	*buffer = head[:0]
	if n, err := c.Write(head); err != nil {
		return n > 0, err
	}
	return true, o.writeBody(c, kept)
}

func (o *outgoing) writeBody(c *conn, kept []byte) error {
	if o.body.length >= 0 {
		if len(kept) > 0 {
			if _, err := c.Write(kept); err != nil {
				return err
			}
		}
		if !o.body.isKept() {
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
func (o *outgoing) copyRest(c *conn, chunked io.WriteCloser) {
	o.body.restTaken = true
	rest := o.body.rest
	remaining := o.body.length - int64(len(o.body.kept))
	copying := make(chan error, 1)
	o.copying = copying
	go func() {
		buffer := copyBuffers.Get().(*[]byte)
		defer copyBuffers.Put(buffer)
		if chunked == nil {
			copying <- copyExactly(c, rest, remaining, *buffer)
			return
		}
		copying <- copyChunked(c, chunked, rest, *buffer)
	}()
}

// sent reports whether the whole body has been sent.
func (o *outgoing) sent() bool {
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
