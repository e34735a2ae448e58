package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/url"
	"path"
	"strconv"
	"strings"
)

// parsedRequest is a request as parseRequest reads it.
type parsedRequest struct {
	method, target, host, id, body string
	expectsContinue                bool
	// hasInvalidTarget is set when the target is neither a path nor the absolute form of
	// one. The request has an end, but no server may run it.
	hasInvalidTarget bool
}

// String returns what a parsing server responds with.
func (r parsedRequest) String() string {
	return fmt.Sprintf("%s %s of %s, id %q, body %q", r.method, r.target, r.host, r.id, r.body)
}

// requestParser reads requests without net/http. It knows one reading of each request
// and returns an error for everything else.
type requestParser struct {
	reader *bufio.Reader
	// lenient accepts what a caller may send and the proxy must not: lines that end in
	// a line feed only and targets in absolute form.
	lenient bool
	// askForBody is called when the sender waits for an interim response.
	askForBody func()
}

const tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

func isToken(text string) bool { return text != "" && strings.Trim(text, tokenCharacters) == "" }

// next reads a request. It returns io.EOF at the end and io.ErrUnexpectedEOF within a
// request.
func (p *requestParser) next() (parsedRequest, error) {
	if _, err := p.reader.Peek(1); err != nil {
		return parsedRequest{}, io.EOF
	}
	line, err := p.line()
	for p.lenient && err == nil && line == "" {
		if line, err = p.line(); errors.Is(err, io.ErrUnexpectedEOF) && line == "" {
			return parsedRequest{}, io.EOF
		}
	}
	if err != nil {
		return parsedRequest{}, err
	}
	request, minor, err := p.requestLine(line)
	if err != nil {
		return request, err
	}
	fields, err := p.fields()
	if err != nil {
		return request, err
	}
	return request, p.finish(&request, minor, fields)
}

func (p *requestParser) requestLine(line string) (parsedRequest, byte, error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || len(parts[2]) != len("HTTP/1.1") || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return parsedRequest{}, 0, fmt.Errorf("request line %q", line)
	}
	return parsedRequest{method: parts[0], target: parts[1]}, parts[2][len(parts[2])-1], nil
}

// fields reads the header up to the empty line. Names are in lower case.
func (p *requestParser) fields() (map[string][]string, error) {
	fields := make(map[string][]string)
	for {
		line, err := p.line()
		if err != nil || line == "" {
			return fields, err
		}
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return nil, fmt.Errorf("header line %q", line)
		}
		name = strings.ToLower(name)
		fields[name] = append(fields[name], strings.Trim(value, " \t"))
	}
}

// finish reads the body that the fields announce.
func (p *requestParser) finish(request *parsedRequest, minor byte, fields map[string][]string) error {
	hosts, lengths, codings := fields["host"], fields["content-length"], fields["transfer-encoding"]
	switch {
	case len(hosts) > 1 || (len(hosts) == 0 && minor != '0'):
		return fmt.Errorf("hosts %q", hosts)
	case len(lengths)+len(codings) > 1:
		return fmt.Errorf("lengths %q, transfer codings %q", lengths, codings)
	case len(codings) == 1 && (minor == '0' || !strings.EqualFold(codings[0], "chunked")):
		return fmt.Errorf("transfer coding %q", codings)
	}
	request.host = strings.Join(hosts, "")
	if ids := fields["x-id"]; len(ids) > 0 && !isListed(fields["connection"], "x-id") {
		request.id = ids[0]
	}
	request.expectsContinue = strings.EqualFold(strings.Join(fields["expect"], ","), "100-continue")
	if err := p.checkTarget(request); err != nil && !p.lenient {
		return err
	} else if err != nil {
		request.hasInvalidTarget = true
	}
	if request.expectsContinue && p.askForBody != nil {
		p.askForBody()
	}
	var err error
	switch {
	case len(codings) == 1:
		request.body, err = p.chunks()
	case len(lengths) == 1:
		if strings.Trim(lengths[0], "0123456789") != "" || lengths[0] == "" || len(lengths[0]) > 18 {
			return fmt.Errorf("length %q", lengths[0])
		}
		length, _ := strconv.Atoi(lengths[0])
		request.body, err = p.bytes(length)
	}
	return err
}

// isListed reports whether a header that is a list holds a name in lower case.
func isListed(values []string, name string) bool {
	for option := range strings.SplitSeq(strings.Join(values, ","), ",") {
		if strings.ToLower(strings.Trim(option, " \t")) == name {
			return true
		}
	}
	return false
}

// checkTarget accepts a path, or the absolute form of one for the same host.
func (p *requestParser) checkTarget(request *parsedRequest) error {
	if absolute := len("http://"); p.lenient && len(request.target) >= absolute && strings.EqualFold(request.target[:absolute], "http://") {
		rest := request.target[absolute:]
		end := strings.IndexAny(rest+"/", "/?")
		if !strings.EqualFold(rest[:end], request.host) && request.host != "" {
			return fmt.Errorf("target %q of host %q", request.target, request.host)
		}
		request.host, request.target = rest[:end], rest[end:]
		if !strings.HasPrefix(request.target, "/") {
			request.target = "/" + request.target
		}
	}
	if !strings.HasPrefix(request.target, "/") || strings.ContainsAny(request.target, "#\t") {
		return fmt.Errorf("target %q", request.target)
	}
	return nil
}

// maxParsedBody bounds the memory for a body that is announced.
const maxParsedBody = 1 << 20

func (p *requestParser) bytes(n int) (string, error) {
	if n > maxParsedBody {
		return "", fmt.Errorf("body of %d bytes", n)
	}
	buffer := make([]byte, n)
	if _, err := io.ReadFull(p.reader, buffer); err != nil {
		return "", io.ErrUnexpectedEOF
	}
	return string(buffer), nil
}

// chunks reads a chunked body and drops its trailers.
func (p *requestParser) chunks() (string, error) {
	var body strings.Builder
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			return "", io.ErrUnexpectedEOF
		}
		size, _, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), ";")
		n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 31)
		if err != nil || !strings.HasSuffix(line, "\r\n") || strings.ContainsAny(size, "+_xX") {
			return "", fmt.Errorf("chunk line %q", line)
		}
		if n == 0 {
			break
		}
		data, err := p.bytes(int(n))
		if err != nil {
			return "", err
		}
		body.WriteString(data)
		if end, err := p.bytes(2); err != nil || end != "\r\n" {
			return "", fmt.Errorf("end of a chunk %q: %w", end, io.ErrUnexpectedEOF)
		}
	}
	for {
		line, err := p.reader.ReadString('\n')
		if err != nil {
			return "", io.ErrUnexpectedEOF
		}
		if strings.TrimRight(line, "\r\n") == "" {
			return body.String(), nil
		}
	}
}

// line reads a line of a head.
func (p *requestParser) line() (string, error) {
	line, err := p.reader.ReadString('\n')
	if err != nil {
		return line, io.ErrUnexpectedEOF
	}
	line = strings.TrimSuffix(line, "\n")
	if !strings.HasSuffix(line, "\r") && !p.lenient {
		return "", fmt.Errorf("line %q ends in a line feed only", line)
	}
	line = strings.TrimSuffix(line, "\r")
	if strings.ContainsFunc(line, func(c rune) bool { return (c < ' ' && c != '\t') || c == 0x7f }) {
		return "", fmt.Errorf("control character in line %q", line)
	}
	return line, nil
}

// normalizedPath returns the path of a target as a server reads it that decodes it,
// drops parameters, reads backslashes as slashes and resolves dot segments.
func normalizedPath(target string) string {
	text, _, _ := strings.Cut(target, "?")
	if decoded, err := url.PathUnescape(text); err == nil {
		text = decoded
	}
	text, _, _ = strings.Cut(strings.ReplaceAll(text, `\`, "/"), "\x00")
	segments := strings.Split(text, "/")
	for i := range segments {
		segments[i], _, _ = strings.Cut(segments[i], ";")
	}
	text = path.Clean("/" + strings.Join(segments, "/"))
	if last := segments[len(segments)-1]; text != "/" && (last == "" || last == "." || last == "..") {
		text += "/"
	}
	return text
}
