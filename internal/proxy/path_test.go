package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestAmbiguousPathsAreNotRun guards against a path that the proxy and a server read
// differently, so that the server runs a request of another route, and against refusing
// or changing a path that has one meaning.
func TestAmbiguousPathsAreNotRun(t *testing.T) {
	f := newTestFleet(t, 1, 4)
	var mu sync.Mutex
	var received []string
	f.nodes[0].backend.handle = func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		received = append(received, r.Host+" "+r.RequestURI)
	}
	for _, c := range []struct {
		name, target string
		status       int
		forwarded    string
	}{
		{"plain", "/get/a?b=/../c", 200, "/get/a?b=/../c"},
		{"no route", "/other/a", 404, ""},
		{"dot segments", "/get/../post/a", 400, ""},
		{"dot segments at the end", "/get/a/..", 400, ""},
		{"single dot", "/get/./a", 400, ""},
		{"three dots", "/get/.../a", 200, "/get/.../a"},
		{"hidden name", "/get/.a", 200, "/get/.a"},
		{"dot segments without a route", "/a/../get/b", 400, ""},
		{"encoded dots", "/get/%2e%2E/post/a", 400, ""},
		{"half encoded dots", "/get/.%2e/post/a", 400, ""},
		{"dots before a parameter", "/get/..;a=b/post/a", 400, ""},
		{"encoded slash behind dots", "/get/..%2fpost/a", 400, ""},
		{"encoded slash", "/get/a%2Fb", 200, "/get/a%2Fb"},
		{"encoded slash in the prefix", "/get%2Fa", 400, ""},
		{"backslash", `/get\..\post\a`, 400, ""},
		{"backslash without dots", `/get/a\b`, 400, ""},
		{"encoded backslash and dots", "/get/..%5cpost/a", 400, ""},
		{"encoded backslash", "/get/a%5Cb", 200, "/get/a%5Cb"},
		{"empty segment", "/get//a", 200, "/get//a"},
		{"empty segment first", "//get/a", 400, ""},
		{"encoded letter of the prefix", "/%67et/a", 400, ""},
		{"encoded letter", "/get/%61", 200, "/get/%61"},
		{"encoded twice", "/get/%2561", 200, "/get/%2561"},
		{"escape without digits", "/get/%zz", 400, ""},
		{"encoded NUL", "/get/a%00b", 400, ""},
		{"NUL", "/get/a\x00b", 400, ""},
		{"control character", "/get/a\x01b", 400, ""},
		{"tab", "/get/a\tb", 400, ""},
		{"overlong dots", "/get/%c0%ae%c0%ae/post/a", 400, ""},
		{"UTF-8", "/get/%C3%A5", 200, "/get/%C3%A5"},
		{"path parameter", "/get/a;v=1", 200, "/get/a;v=1"},
		{"path parameter in the prefix", "/get;v=1/a", 400, ""},
		{"fragment", "/get/a#/b", 400, ""},
		{"absolute form", "http://" + testHost + "/get/a?b", 200, "/get/a?b"},
		{"absolute form, dot segments", "http://" + testHost + "/get/../post/a", 400, ""},
		{"absolute form, other scheme", "ftp://" + testHost + "/get/a", 400, ""},
		{"absolute form, user", "http://user@" + testHost + "/get/a", 400, ""},
		{"absolute form without host", "http:/get/a", 400, ""},
		{"asterisk", "*", 404, ""},
		{"neither path nor URL", "get/a", 400, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			received = nil
			got := f.sendRaw(g, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Id: path\r\n\r\n", c.target, testHost))
			g.Expect(got.StatusCode).To(gomega.Equal(c.status))
			var want []string
			if c.forwarded != "" {
				want = []string{testHost + " " + c.forwarded}
			}
			g.Expect(received).To(gomega.Equal(want))
			if c.status == http.StatusBadRequest {
				g.Expect(got.Header.Get(HeaderResult)).To(gomega.Equal("60"))
			}
		})
	}
}

// TestTunnelIsRefused guards against forwarding CONNECT: the server would open a tunnel,
// and what follows its response would be no HTTP.
func TestTunnelIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	for _, target := range []string{"/get/a", "/post/a", testHost + ":80"} {
		got := f.sendRaw(g, fmt.Sprintf("CONNECT %s HTTP/1.1\r\nHost: %s\r\nX-Id: tunnel\r\n\r\n", target, testHost))
		g.Expect(got.StatusCode).To(gomega.Equal(http.StatusBadRequest), target)
	}
	g.Expect(f.nodes[0].backend.runCount("tunnel")).To(gomega.BeZero())
}

// sendRaw sends bytes to the outbound proxy of the first node and returns the response,
// without its body.
func (f *testFleet) sendRaw(g *gomega.WithT, request string) *http.Response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(conn, request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return response
}
