package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// headBufferBytes is the initial size of the buffer for a head. A larger buffer counts
	// against MaxIncompleteHeadBytes and is not reused.
	headBufferBytes = 2 << 10
	// maxEmptyLines is the number of empty lines that are skipped before a request
	// (RFC 9112, section 2.2).
	maxEmptyLines = 2
)

// headParser holds the buffer for reading one head.
type headParser struct {
	head []byte
	// limit returns the size in bytes that a head may have.
	limit func() int
	// budget bounds the buffers of all heads together, and taken is the part of it that
	// this one holds.
	budget *headBudget
	taken  int64
}

// headReader reads a complete head from memory.
type headReader struct {
	bytes  bytes.Reader
	buffer *bufio.Reader
}

var (
	headBuffers = sync.Pool{New: func() any { return new([headBufferBytes]byte) }}
	headReaders = sync.Pool{New: func() any { return &headReader{buffer: bufio.NewReaderSize(nil, headBufferBytes)} }}
)

// readRequest reads the head of a request. The body stays unread. A *rejection is
// returned for a head that is invalid or too large, or that finds no room in the budget.
func readRequest(from *bufio.Reader, limit func() int, budget *headBudget) (*http.Request, error) {
	buffer := headBuffers.Get().(*[headBufferBytes]byte)
	defer headBuffers.Put(buffer)
	p := headParser{head: buffer[:0], limit: limit, budget: budget}
	defer func() { budget.give(p.taken) }()
	if err := p.read(from); err != nil {
		return nil, err
	}
	f, err := p.checkLines()
	if err != nil {
		return nil, err
	}
	reader := headReaders.Get().(*headReader)
	defer headReaders.Put(reader)
	reader.bytes.Reset(p.head)
	reader.buffer.Reset(&reader.bytes)
	request, err := http.ReadRequest(reader.buffer)
	if err != nil {
		return nil, reject(http.StatusBadRequest, result.BadRequest, "malformed request: %v", err)
	}
	if request.ProtoMajor != 1 {
		return nil, reject(http.StatusHTTPVersionNotSupported, result.BadRequest, "protocol %s is not supported", request.Proto)
	}
	return request, f.check(request)
}

// read reads up to the empty line behind the head.
func (p *headParser) read(from *bufio.Reader) error {
	lineStart, emptyLines := 0, 0
	for {
		part, err := from.ReadSlice('\n')
		if limit := p.limit(); len(p.head)+len(part) > limit {
			return reject(http.StatusRequestHeaderFieldsTooLarge, result.BodyTooLarge, "the head of the request exceeds %d bytes", limit)
		}
		if !p.append(part) {
			return reject(http.StatusServiceUnavailable, result.Overloaded, "the incomplete heads of other requests occupy the memory for them")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		line := trimLineEnd(p.head[lineStart:])
		switch {
		case len(line) > 0:
			lineStart = len(p.head)
		case lineStart > 0:
			return nil
		default:
			if emptyLines++; emptyLines > maxEmptyLines {
				return reject(http.StatusBadRequest, result.BadRequest, "%d empty lines before a request", emptyLines)
			}
			p.head = p.head[:0]
		}
	}
}

// append appends to the head. It returns false when a larger buffer exceeds the budget.
func (p *headParser) append(part []byte) bool {
	size := len(p.head) + len(part)
	if size <= cap(p.head) {
		p.head = append(p.head, part...)
		return true
	}
	size = max(size, 2*cap(p.head))
	if !p.budget.take(int64(size) - p.taken) {
		return false
	}
	p.taken = int64(size)
	p.head = append(append(make([]byte, 0, size), p.head...), part...)
	return true
}

// trimLineEnd removes a line feed and a carriage return before it. A further carriage
// return belongs to the line, which is then invalid.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// framing holds what decides where a request ends and which host it is for.
type framing struct {
	hosts, lengths, encodings int
	chunked                   bool
	// host is the value of the Host field.
	host string
}

// checkLines rejects lines that another parser could read as other fields and
// unsupported encodings, and returns the fields that net/http does not keep.
func (p *headParser) checkLines() (framing, error) {
	var f framing
	isRequestLine := true
	for line := range bytes.Lines(p.head) {
		line = trimLineEnd(line)
		for _, b := range line {
			if (b < ' ' && b != '\t') || b == 0x7f {
				return f, reject(http.StatusBadRequest, result.BadRequest, "the head of the request holds the control character %#02x", b)
			}
		}
		if !isRequestLine && len(line) > 0 {
			if err := f.addField(line); err != nil {
				return f, err
			}
		}
		isRequestLine = false
	}
	if f.encodings > 1 || (f.encodings == 1 && !f.chunked) {
		return f, reject(http.StatusNotImplemented, result.BadRequest, "the only supported Transfer-Encoding is chunked")
	}
	return f, nil
}

// addField counts a field. It rejects names that are no tokens: http.ReadRequest accepts
// a space before the colon and keeps "Content-Length " as a field without effect, while
// another parser drops the space (RFC 9112, section 5.1). It rejects folded lines, which
// another parser could read as fields of their own (section 5.2).
func (f *framing) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return reject(http.StatusBadRequest, result.BadRequest, "a header line of the request begins with a space")
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case !httpguts.ValidHeaderFieldName(string(name)):
		return reject(http.StatusBadRequest, result.BadRequest, "the header name %q is no token", name)
	case bytes.EqualFold(name, []byte("Host")):
		f.hosts++
		f.host = string(bytes.TrimSpace(value))
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths++
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encodings++
		f.chunked = bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
	}
	return nil
}

// check rejects requests whose end or host is ambiguous (RFC 9112, sections 3.2 and
// 6.1): a server could read them as other requests than the proxy.
func (f framing) check(request *http.Request) error {
	switch {
	case f.hosts > 1 || (f.hosts == 0 && request.ProtoMinor > 0):
		return reject(http.StatusBadRequest, result.BadRequest, "the request has %d Host fields, want 1", f.hosts)
	case !isHost(f.host):
		return reject(http.StatusBadRequest, result.BadRequest, "the Host field %q is no host with an optional port", f.host)
	case f.hosts > 0 && !strings.EqualFold(f.host, request.Host):
		return reject(http.StatusBadRequest, result.BadRequest, "the Host field %q differs from the host %q of the request target", f.host, request.Host)
	case f.encodings > 0 && f.lengths > 0:
		return reject(http.StatusBadRequest, result.BadRequest, "the request has both Content-Length and Transfer-Encoding")
	case f.encodings > 0 && request.ProtoMinor == 0:
		return reject(http.StatusBadRequest, result.BadRequest, "Transfer-Encoding in an HTTP/1.0 request")
	case f.lengths > 1:
		return reject(http.StatusBadRequest, result.BadRequest, "the request has %d Content-Length fields", f.lengths)
	default:
		return nil
	}
}

// isHost reports whether a Host field has none of the characters that separate a host
// from other parts of a URL.
func isHost(host string) bool {
	return httpguts.ValidHostHeader(host) && !strings.ContainsAny(host, `/?#@\" <>,`)
}
