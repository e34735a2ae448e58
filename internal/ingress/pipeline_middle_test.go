package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// TestEarlyResponseInThePipeline guards against an early response to a body in the middle
// of a pipeline that damages the responses before it, and against bytes of the unread
// body, or what follows it, that are run as requests.
func TestEarlyResponseInThePipeline(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, request := range map[string]string{
		"stated length": fmt.Sprintf("POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 4*len(smuggled), strings.Repeat(smuggled, 4)),
		"chunks":        "POST /early HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(smuggled), smuggled),
		"not sent":      "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, func(c *Config) {
				handler := c.Handler
				c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/early" {
						http.Error(w, "not now", http.StatusServiceUnavailable)
						return
					}
					handler.ServeHTTP(w, r)
				})
			})
			c := s.dial(t, g)
			c.send(get("/a?wait=150") + get("/b?wait=50") + request + get("/c"))
			for _, path := range []string{"/a", "/b"} {
				status, body, closes := c.receive()
				g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, path + " ", false}))
			}
			status, _, closes := c.receive()
			g.Expect([]any{status, closes}).To(gomega.Equal([]any{503, true}))
			c.expectEnd()
			g.Expect(s.startedPaths()).To(gomega.ConsistOf("/a", "/b"))
		})
	}
}

// TestSlowHeadBehindRunningRequests guards against a head that takes too long and whose
// refusal overtakes, cuts or loses the responses to the requests before it.
func TestSlowHeadBehindRunningRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	s.changeLimits(func(l *routing.Limits) { l.HeaderTimeout = 100 * time.Millisecond })
	c := s.dial(t, g)
	c.send(get("/a?wait=500") + get("/b?wait=300") + "GET /half")
	for _, path := range []string{"/a", "/b"} {
		status, body, closes := c.receive()
		g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, path + " ", false}))
	}
	status, _, closes := c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{408, true}))
	c.expectEnd()
}

// TestLargeBodyInThePipeline guards against a body above the limit in the middle of a
// pipeline that damages the responses before it or is followed by another request.
func TestLargeBodyInThePipeline(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, nil)
	s.changeLimits(func(l *routing.Limits) { l.BodyBytes = 100 })
	c := s.dial(t, g)
	c.send(get("/a?wait=150") + post("/b", strings.Repeat("x", 101)) + get("/c"))
	status, body, closes := c.receive()
	g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, "/a ", false}))
	status, _, closes = c.receive()
	g.Expect([]any{status, closes}).To(gomega.Equal([]any{400, true}), "the handler reports the error")
	c.expectEnd()
	g.Expect(s.startedPaths()).To(gomega.Equal([]string{"/a", "/b"}))
}

// TestFailedHandlerInThePipeline guards against an incomplete response in the middle of a
// pipeline that looks complete, that cuts the ones before it, or behind which others
// follow.
func TestFailedHandlerInThePipeline(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) {
		handler := c.Handler
		c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/cut" {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "12345")
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		})
	})
	c := s.dial(t, g)
	c.send(get("/a?wait=150") + get("/cut") + get("/b?wait=20"))
	status, body, closes := c.receive()
	g.Expect([]any{status, body, closes}).To(gomega.Equal([]any{200, "/a ", false}))
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	rest, _ := io.ReadAll(c.reader)
	g.Expect(rest).To(gomega.BeEmpty(), "bytes behind an incomplete response")
}
