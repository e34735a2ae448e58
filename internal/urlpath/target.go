package urlpath

import (
	"net/http"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// Target is an unambiguous request target.
type Target struct {
	// URI is the path and the query as they are forwarded.
	URI string
	// Path is the path that is matched: the path as sent, with the escapes decoded whose
	// characters a URI can't hold otherwise.
	Path string
	// readings are the readings in which a server may differ; nil for a plain path.
	readings []reading
}

// Parse returns the target of a request. The error has the code result.BadRequest and
// names what a server could read differently.
func Parse(r *http.Request) (Target, error) {
	uri, err := originForm(r)
	if err != nil {
		return Target{}, err
	}
	if strings.Contains(uri, "#") {
		return Target{}, refuse("the request target %q contains a fragment", uri)
	}
	path, _, _ := strings.Cut(uri, "?")
	target := Target{URI: uri, Path: path}
	if isPlain(path) {
		return target, nil
	}
	target.Path = decodeUnsendable(path)
	target.readings = allReadings
	return target, target.check(path)
}

// originForm returns the path and the query of a request target. The authority of a
// target in absolute form is already the host of the request (RFC 9112, section 3.2.2).
func originForm(r *http.Request) (string, error) {
	uri := r.RequestURI
	switch {
	case r.Method == http.MethodConnect:
		return "", refuse("the method CONNECT is not supported: what follows its response belongs to a tunnel")
	case strings.HasPrefix(uri, "/") || uri == "*":
		return uri, nil
	case r.URL.Scheme != "http" || r.URL.Host == "" || r.URL.User != nil:
		return "", refuse("the request target %q is neither a path nor an http URL with a host and without user information", uri)
	}
	_, rest, _ := strings.Cut(uri, "://")
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/", nil
	case rest[start] == '?':
		return "/" + rest[start:], nil
	default:
		return rest[start:], nil
	}
}

func (t Target) check(path string) error {
	switch {
	case strings.HasPrefix(path, "//"):
		return refuse("the path %q begins with two slashes, so that its first segment may be read as a host", path)
	case strings.Contains(path, `\`):
		return refuse("the path %q contains a backslash, which may be read as a slash", path)
	case hasDotSegment(path):
		return refuse("the path %q contains dot segments", path)
	}
	for _, reading := range t.readings {
		text := reading.apply(path)
		switch {
		case strings.ContainsRune(text, 0):
			return refuse("the path %q contains an encoded NUL, which may be read as its end", path)
		case hasDotSegment(text):
			return refuse("the path %q may be read as %q, which contains dot segments", path, text)
		}
	}
	return nil
}

// isPlain reports whether a path has only one reading.
func isPlain(path string) bool {
	return !strings.ContainsAny(path, `%;\`) && !strings.Contains(path, "//") && !strings.Contains(path, "/.") && isASCII(path)
}

func isASCII(text string) bool {
	for i := range len(text) {
		if text[i] >= 0x80 {
			return false
		}
	}
	return true
}

// hasDotSegment reports whether a segment of the path is "." or "..".
func hasDotSegment(path string) bool {
	return strings.Contains(path, "/../") || strings.HasSuffix(path, "/..") ||
		strings.Contains(path, "/./") || strings.HasSuffix(path, "/.")
}

func refuse(format string, args ...any) error {
	return result.Errorf(result.BadRequest, format, args...)
}
