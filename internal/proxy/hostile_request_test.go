package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestHostileRequestsGetTheirCode guards against a hostile request that runs, that gets
// another status or result code than docs/CALLERS.md says, or whose connection is used
// on.
func TestHostileRequestsGetTheirCode(t *testing.T) {
	head := func(line string, fields ...string) string {
		return line + "\r\nHost: " + testHost + "\r\n" + testHeaders.RequestID + ": hostile\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
	}
	for name, c := range map[string]struct {
		sent   string
		status int
		code   result.Code
		// stays is set when the connection stays open.
		stays bool
	}{
		"head above the limit":        {head("GET /get/a HTTP/1.1", "X-A: "+strings.Repeat("a", 40<<10)), 431, result.BodyTooLarge, false},
		"half a request line":         {"GET /get/a HT", 408, result.RequestTimeout, false},
		"dot segments":                {head("GET /get/../post/a HTTP/1.1", "X-A: a"), 400, result.BadRequest, true},
		"encoded prefix":              {head("GET /%67et/a HTTP/1.1", "X-A: a"), 400, result.BadRequest, true},
		"length and chunks":           {head("POST /post/a HTTP/1.1", "Content-Length: 5", "Transfer-Encoding: chunked") + "0\r\n\r\n", 400, result.BadRequest, false},
		"incomplete body":             {head("POST /post/a HTTP/1.1", "Content-Length: 20") + "abc", 408, result.RequestTimeout, false},
		"incomplete chunks":           {head("POST /post/a HTTP/1.1", "Transfer-Encoding: chunked") + "5\r\nabc", 408, result.RequestTimeout, false},
		"body above the limit":        {head("POST /post/a HTTP/1.1", fmt.Sprintf("Content-Length: %d", 2<<20)), 413, result.BodyTooLarge, false},
		"other transfer encoding":     {head("POST /post/a HTTP/1.1", "Transfer-Encoding: gzip, chunked") + "0\r\n\r\n", 501, result.BadRequest, false},
		"unknown expectation":         {head("POST /post/a HTTP/1.1", "Expect: x", "Content-Length: 1") + "a", 417, result.BadRequest, false},
		"space before a header colon": {head("GET /get/a HTTP/1.1", "X-A : a"), 400, result.BadRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startTestFleet(&testFleet{t: t, timeout: slowBodyTimeout}, 1, 1)
			startedAt := time.Now()
			reader := f.pipeline(g, c.sent)
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", slowBodyTimeout+500*time.Millisecond))
			g.Expect([]any{response.StatusCode, response.Header.Get(HeaderResult), response.Close}).To(gomega.Equal([]any{c.status, fmt.Sprint(int(c.code)), !c.stays}))
			if !c.stays {
				expectEnd(g, reader)
			}
			g.Expect(f.nodes[0].backend.runCount("hostile")).To(gomega.BeZero())
		})
	}
}

// expectEnd expects that the connection has ended without further bytes.
func expectEnd(g *gomega.WithT, reader *bufio.Reader) {
	_, err := reader.ReadByte()
	g.Expect(err).To(gomega.Equal(io.EOF))
}
