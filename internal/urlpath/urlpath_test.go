package urlpath

import (
	"bufio"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// routes are the prefixes of routes.
type routes []string

// find returns the longest prefix of a path, which stands for its route.
func (r routes) find(path string) (string, string, bool) {
	longest := ""
	for _, prefix := range r {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	return longest, longest, longest != ""
}

// match returns the route of a path as it is sent.
func (r routes) match(t interface{ Fatal(...any) }, uri string) (string, error) {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	target, err := Parse(request)
	if err != nil {
		return "", err
	}
	route, _, err := Match(target, r.find)
	return route, err
}

// TestReadingsOfOtherRoutesAreRefused guards against forwarding a path that a server may
// read as one of another route, and against refusing one whose readings agree.
func TestReadingsOfOtherRoutesAreRefused(t *testing.T) {
	const refused = "refused"
	all := routes{"/", "/get/", "/get/big/", "/odd//x/", "/odd%2Fx/", "/ord er/", "/bestå/", "/100%/"}
	for uri, want := range map[string]string{
		"/a":                  "/",
		"/get/a":              "/get/",
		"/get/big/a":          "/get/big/",
		"/get/bi%67/a":        refused,
		"/get/big%2Fa":        refused,
		"/get/big;v=1/a":      refused,
		"/get/big%3Bv/a":      refused,
		"/get//big/a":         refused,
		"/get/%2Fbig/a":       refused,
		"/get%5Cbig/a":        refused,
		"/get//a":             "/get/",
		"/get/big//a":         "/get/big/",
		"/%67et/a":            refused,
		"/get%2Fa":            refused,
		"/a%2Fb":              "/",
		"/a//get/b":           "/",
		"/odd//x/a":           "/odd//x/",
		"/odd//x/%61":         "/odd//x/",
		"/odd%2Fx/a%20b":      "/odd%2Fx/",
		"/ord%20er/a":         "/ord er/",
		"/best%C3%A5/a":       "/bestå/",
		"/best%c3%a5/a":       "/bestå/",
		"/get/a%3Fb":          "/get/",
		"/get/a%25b":          "/get/",
		"http://h/get/a":      "/get/",
		"http://h":            "/",
		"http://h?/get/":      "/",
		"/get/%c0%afbig/a":    refused,
		"/get/a?%00=\\..#":    refused,
		"/get/a?%00=\\../;//": "/get/",
	} {
		got, err := all.match(t, uri)
		if err != nil {
			got = refused
		}
		if got != want {
			t.Errorf("%s: route %q (%v), want %q", uri, got, err, want)
		}
		if err != nil && result.CodeOf(err) != result.BadRequest {
			t.Errorf("%s: code %d", uri, result.CodeOf(err))
		}
	}
}

// serverReading returns a path as a server reads it that does what it is told to.
func serverReading(t *rapid.T, raw string) string {
	text := raw
	if rapid.Bool().Draw(t, "decodes") {
		text, _ = url.PathUnescape(text)
		if rapid.Bool().Draw(t, "reads backslashes as slashes") {
			text = strings.ReplaceAll(text, `\`, "/")
		}
		if rapid.Bool().Draw(t, "ends at NUL") {
			text, _, _ = strings.Cut(text, "\x00")
		}
	}
	segments := strings.Split(text, "/")
	if rapid.Bool().Draw(t, "drops parameters") {
		for i := range segments {
			segments[i], _, _ = strings.Cut(segments[i], ";")
		}
	}
	if rapid.Bool().Draw(t, "merges slashes") {
		endsInSlash := segments[len(segments)-1] == ""
		segments = slices.DeleteFunc(segments, func(segment string) bool { return segment == "" })
		if endsInSlash {
			segments = append(segments, "")
		}
		segments = slices.Insert(segments, 0, "")
	}
	text = "/" + strings.TrimPrefix(strings.Join(segments, "/"), "/")
	if rapid.Bool().Draw(t, "resolves dot segments") && slices.ContainsFunc(segments, func(segment string) bool { return segment == "." || segment == ".." }) {
		return path.Clean(text) + "/"
	}
	return text
}

// TestServersAgreeOnTheRoute guards against any path that is forwarded and that a server
// reads as one of another route.
func TestServersAgreeOnTheRoute(t *testing.T) {
	pieces := []string{"/", "/", "a", "b", ".", "..", ";", "%2e", "%2F", "%5c", "%61", "%62", "%3B", "%00", "%25", "/a/", "/a/b/", "/b/"}
	rapid.Check(t, func(t *rapid.T) {
		raw := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 10).Draw(t, "pieces"), "")
		all := routes{"/a/", "/a/b/", "/b/"}
		if rapid.Bool().Draw(t, "has catch-all route") {
			all = append(all, "/")
		}
		route, err := all.match(t, raw)
		if err != nil {
			return
		}
		read := serverReading(t, raw)
		if other, _, _ := all.find(read); other != route {
			t.Fatalf("%s: forwarded as route %q, a server may read %q of route %q", raw, route, read, other)
		}
	})
}

// TestProperPathsAreNotRefused guards against refusing a path below the prefix of a
// route whose segments any client encodes correctly.
func TestProperPathsAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		uri := "/get"
		for range rapid.IntRange(1, 4).Draw(t, "segments") {
			segment := rapid.StringN(1, 12, -1).Filter(isProperSegment).Draw(t, "segment")
			uri += "/" + url.PathEscape(segment)
		}
		route, err := routes{"/get/", "/post/"}.match(t, uri)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(route).To(gomega.Equal("/get/"))
	})
}

// isProperSegment reports whether a segment has no reading with NUL or dot segments.
func isProperSegment(segment string) bool {
	parts := strings.FieldsFunc(segment, func(c rune) bool { return c == '/' || c == '\\' })
	return !strings.Contains(segment, "\x00") && !slices.ContainsFunc(parts, func(part string) bool {
		name, _, _ := strings.Cut(part, ";")
		return name == "." || name == ".."
	})
}
