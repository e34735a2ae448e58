package ingress

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// TestIncompleteHeadsShareABound guards against callers that take memory with large heads
// that they do not complete, and against a bound that holds what has ended.
func TestIncompleteHeadsShareABound(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(t, func(c *Config) { c.MaxIncompleteHeadBytes = 28 << 10 })
	large := "GET /large HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 10<<10)
	half := []*client{s.dial(t, g), s.dial(t, g)}
	for _, c := range half {
		c.send(large)
	}
	g.Eventually(s.heads.used.Load).Should(gomega.BeNumerically(">", 16_000))
	for range 3 {
		c := s.dial(t, g)
		c.send(large + "\r\n\r\n")
		status, _, closes := c.receive()
		g.Expect([]any{status, closes}).To(gomega.Equal([]any{503, true}))
		c.expectEnd()
	}
	other := s.dial(t, g)
	other.send(get("/other"))
	status, body, _ := other.receive()
	g.Expect([]any{status, body}).To(gomega.Equal([]any{200, "/other "}))
	half[0].send("\r\n\r\n")
	_, body, _ = half[0].receive()
	g.Expect(body).To(gomega.Equal("/large "))
	g.Expect(half[1].conn.Close()).To(gomega.Succeed())
	g.Eventually(s.heads.used.Load).Should(gomega.BeZero())
	other.send(large + "\r\n\r\n")
	status, _, _ = other.receive()
	g.Expect(status).To(gomega.Equal(200))
	g.Expect(s.startedPaths()).To(gomega.HaveLen(3))
}
