package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// slowBodyTimeout is the time of the route of slow bodies.
const slowBodyTimeout = 1200 * time.Millisecond

// sendSlowBody sends a request with a part of its body to the outbound proxy of the first
// node.
func (f *testFleet) sendSlowBody(g *gomega.WithT, id, framing, part string) net.Conn {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.t.Cleanup(func() { conn.Close() })
	g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, err = fmt.Fprintf(conn, "POST /post/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s\r\n\r\n", testHost, testHeaders.RequestID, id, framing)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// An error means that the server has refused the request.
	go func() { _, _ = io.WriteString(conn, part) }()
	return conn
}

// TestSlowBodiesHoldNothing guards against callers that announce bodies and do not send
// them: they must hold neither a slot of a server nor the memory for bodies of others,
// and their requests end within the time of the route and do not run.
func TestSlowBodiesHoldNothing(t *testing.T) {
	const slow = 20
	for name, c := range map[string]struct{ framing, part string }{
		"part of a small body": {"Content-Length: 20", "abc"},
		"nothing of a large":   {"Content-Length: 1000000", ""},
		"part of a large":      {"Content-Length: 1000000", strings.Repeat("x", 1000)},
		"part of chunks":       {"Transfer-Encoding: chunked", "3\r\nabc\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := startTestFleet(&testFleet{t: t, timeout: slowBodyTimeout}, 1, 1)
			var conns []net.Conn
			for i := range slow {
				conns = append(conns, f.sendSlowBody(g, "slow-"+strconv.Itoa(i), c.framing, c.part))
			}
			time.Sleep(100 * time.Millisecond)
			for i := range 10 {
				id := "other-" + strconv.Itoa(i)
				expectResponse(g, f.post(id, "body"), id, "body")
				g.Expect(f.nodes[0].slots.Load().Running).To(gomega.BeZero())
			}
			for i, conn := range conns {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.Copy(io.Discard, response.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect([]any{response.StatusCode, response.Header.Get(HeaderResult), response.Close}).To(gomega.Equal([]any{408, "63", true}))
				g.Expect(f.nodes[0].backend.runCount("slow-" + strconv.Itoa(i))).To(gomega.BeZero())
			}
			g.Expect(f.nodes[0].proxy.inbound.buffers.used.Load()).To(gomega.BeZero(), "bytes of the budget that were not returned")
		})
	}
}

// TestBodiesShareABound guards against bodies that are held in memory beyond the bound
// for all callers, and against a bound that is not free after they have ended.
func TestBodiesShareABound(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startTestFleet(&testFleet{t: t, timeout: slowBodyTimeout}, 1, 1)
	part := strings.Repeat("x", 900_000)
	for i := range 12 {
		f.sendSlowBody(g, "slow-"+strconv.Itoa(i), "Content-Length: 1000000", part)
	}
	buffers := f.nodes[0].proxy.inbound.buffers
	g.Eventually(buffers.used.Load).Should(gomega.BeNumerically(">", buffers.capacity/2))
	for range 50 {
		g.Expect(buffers.used.Load()).To(gomega.BeNumerically("<=", buffers.capacity))
		time.Sleep(time.Millisecond)
	}
	g.Eventually(buffers.used.Load).WithTimeout(3 * slowBodyTimeout).Should(gomega.BeZero())
	expectResponse(g, f.post("other", part), "other", part)
}

// TestSlowLargeBodyEndsWithItsRoute guards against a body that is sent on while it arrives
// and holds a slot beyond the time of its route, and against a response that says that
// the request did not run or was complete.
func TestSlowLargeBodyEndsWithItsRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	f := startTestFleet(&testFleet{t: t, routes: testRoutesWith(slowBodyTimeout, 64<<20)}, 1, 1)
	startedAt := time.Now()
	conn := f.sendSlowBody(g, "slow", "Content-Length: 3000000", strings.Repeat("x", 1_500_000))
	g.Eventually(func() int { return f.nodes[0].slots.Load().Running }).Should(gomega.Equal(1), "the body is sent on")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", slowBodyTimeout+500*time.Millisecond))
	g.Eventually(func() int { return f.nodes[0].slots.Load().Running }).Should(gomega.BeZero())
	expectResponse(g, f.post("other", "body"), "other", "body")
}
