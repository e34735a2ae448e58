package proxy

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime"
	runtimemetrics "runtime/metrics"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	endlessHead = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: signed\r\n"
	chunkLine   = "400\r\n"
)

var chunk = chunkLine + strings.Repeat("x", 0x400) + "\r\n"

// endlessForms are the ways in which a server sends bytes that are no response.
var endlessForms = []struct {
	name, first, repeated string
	pause                 time.Duration
}{
	{"head", endlessHead, "X-More: more\r\n", 0},
	{"slow head", endlessHead, "X-More: more\r\n", 20 * time.Millisecond},
	{"header line", endlessHead + "X-More: ", "more", 0},
	{"status line", "HTTP/1.1 200 ", "OK", 0},
	{"junk", "", "\x00\x01\x02\x03junk", 0},
	{"junk lines", "", "junk\r\n", 0},
	{"empty lines", "", "\r\n", 0},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 0},
	{"slow interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 20 * time.Millisecond},
	{"trailers", endlessHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: more\r\n", 0},
	{"chunk extension", endlessHead + "Transfer-Encoding: chunked\r\n\r\n1;", "more", 0},
	{"slow body", endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 20 * time.Millisecond},
	{"responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nx", 0},
}

// endlessTimeout is the time of the test routes within which a caller has its response.
const endlessTimeout = defaultTimeout

// TestEndlessBytesAreNoResponse guards against a server that occupies its proxy without
// end, a caller that gets no or a wrong response, and a connection that is used again.
func TestEndlessBytesAreNoResponse(t *testing.T) {
	for _, form := range endlessForms {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(form.name+" "+method, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				server := startEndlessServer(t, form.first, form.repeated, form.pause)
				f := startTestFleet(&testFleet{t: t, rawServer: server.address}, 1, 4)
				path := "/" + strings.ToLower(method) + "/x"
				startedAt := time.Now()
				got := f.send(context.Background(), method, path, "a", "")
				g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", endlessTimeout+500*time.Millisecond))
				g.Expect(got.err).NotTo(gomega.HaveOccurred())
				g.Expect(got.status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), got.body)
				g.Eventually(server.open.Load).Should(gomega.BeZero(), "the connection stays open")
				g.Expect(f.nodes[0].proxy.inbound.failures.value(*server.closedAt.Load())).To(gomega.BeNumerically(">", 0), "the server is not charged")
				g.Expect(server.sent.Load()).To(gomega.BeNumerically("<", 8<<20), "bytes of the server, with the socket buffers")
				if method == http.MethodPost {
					g.Expect(server.conns.Load()).To(gomega.Equal(int64(1)), "an order was sent twice")
				}
			})
		}
	}
}

// TestEndlessBodyIsCut guards against a body without end that looks complete, or that
// lasts longer than the time of its route.
func TestEndlessBodyIsCut(t *testing.T) {
	for name, first := range map[string]string{
		"chunked": endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "until close": endlessHead + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := startEndlessServer(t, first, chunk, 0)
			f := startTestFleet(&testFleet{t: t, rawServer: server.address}, 1, 4)
			startedAt := time.Now()
			got := f.send(context.Background(), http.MethodGet, "/get/x", "a", "")
			g.Expect(got.err != nil || got.status >= http.StatusInternalServerError).To(gomega.BeTrue(), "the response looks complete")
			g.Eventually(server.open.Load).Should(gomega.BeZero())
			// The caller may read what the sockets hold for longer.
			g.Expect(server.closedAt.Load().Sub(startedAt)).To(gomega.BeNumerically("<", endlessTimeout+500*time.Millisecond))
			g.Expect(f.nodes[0].proxy.inbound.failures.value(*server.closedAt.Load())).To(gomega.BeNumerically(">", 0), "the server is not charged")
		})
	}
}

// TestEndlessBodyEndsWithItsCaller guards against work for a caller that has left.
func TestEndlessBodyEndsWithItsCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startEndlessServer(t, endlessHead+"Transfer-Encoding: chunked\r\n\r\n", chunk, time.Millisecond)
	f := startTestFleet(&testFleet{t: t, rawServer: server.address}, 1, 4)
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		time.Sleep(300 * time.Millisecond)
		leave()
	}()
	g.Expect(f.send(ctx, http.MethodGet, "/get/x", "a", "").err).To(gomega.HaveOccurred())
	g.Eventually(server.open.Load).WithTimeout(500 * time.Millisecond).Should(gomega.BeZero())
}

// stalledCallers is the number of callers that read nothing of their responses, and
// stalledHeapBytes what the node may hold for all of them.
const (
	stalledCallers   = 100
	stalledHeapBytes = 48 << 20
	// stalledTimeout is the time of their route. With 2 s some responses had ended on a
	// busy machine before they were measured.
	stalledTimeout = 6 * time.Second
)

// liveHeapMetric is the size of the objects that the latest garbage collection found in
// use, or that were allocated while it ran.
const liveHeapMetric = "/gc/heap/live:bytes"

// liveHeap collects garbage and returns what is in use. MemStats.HeapAlloc would add what
// was allocated and dropped since the collection began, and its sweep has not yet freed.
func liveHeap() uint64 {
	runtime.GC()
	samples := []runtimemetrics.Sample{{Name: liveHeapMetric}}
	runtimemetrics.Read(samples)
	return samples[0].Value.Uint64()
}

// heldMargin is how far below the limit of a buffered response the largest one is held.
const heldMargin = 64 << 10

// TestStalledCallersShareABound guards against a node that holds a large part of a
// response for each of many callers that read nothing. Responses are held where
// buffering each of them would take the most memory, and then go on without end.
func TestStalledCallersShareABound(t *testing.T) {
	g := gomega.NewWithT(t)
	server := startEndlessServer(t, endlessHead+"Transfer-Encoding: chunked\r\n\r\n", chunk, 0)
	t.Cleanup(func() { server.allowed.Store(math.MaxInt64) })
	server.allowed.Store(0)
	f := startTestFleet(&testFleet{t: t, rawServer: server.address, timeout: stalledTimeout}, 1, stalledCallers)
	before := liveHeap()
	end := time.Now().Add(stalledTimeout)
	for i := range stalledCallers {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		_, err = fmt.Fprintf(conn, "GET /get/x HTTP/1.1\r\nHost: %s\r\n%s: id-%d\r\n\r\n", testHost, testHeaders.RequestID, i)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	for start := time.Now(); server.open.Load() < stalledCallers && time.Since(start) < stalledTimeout/4; {
		time.Sleep(allowedPollInterval)
	}
	limit := int64(DefaultConfig().MaxBufferedBytes)
	var peak uint64
	for _, bytes := range []int64{limit / 2, limit - heldMargin} {
		server.holdResponses(bytes)
		peak = max(peak, liveHeap())
		// On a busy machine some requests are refused before they reach the server.
		g.Expect(server.open.Load()).To(gomega.BeNumerically(">", stalledCallers/4), "responses held at %d bytes", bytes)
		g.Expect(f.nodes[0].proxy.inbound.buffers.used.Load()).To(gomega.BeNumerically(">", 4*limit), "few responses or none were buffered when they were held at %d bytes", bytes)
	}
	server.allowed.Store(math.MaxInt64)
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		peak = max(peak, liveHeap())
	}
	t.Logf("live heap of the process: %d bytes, %d before", peak, before)
	// What was live before is included: the rest of earlier tests may be freed meanwhile.
	g.Expect(peak).To(gomega.BeNumerically("<", stalledHeapBytes), "live heap of the process")
	g.Eventually(server.open.Load).WithTimeout(endlessTimeout+time.Second).Should(gomega.BeZero(), "slots are held after the time of the route")
}
