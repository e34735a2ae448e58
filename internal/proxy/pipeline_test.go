package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/ingress"
)

// pipeline sends requests at once to the outbound proxy of the first node.
func (f *testFleet) pipeline(g *gomega.WithT, requests ...string) *bufio.Reader {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.t.Cleanup(func() { conn.Close() })
	g.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	_, err = io.WriteString(conn, strings.Join(requests, ""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return bufio.NewReader(conn)
}

func pipelinedRequest(method, path, id string, deadlineMs int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", method, path, testHost, testHeaders.RequestID, id, testHeaders.DeadlineMs, deadlineMs)
}

// TestWaitBehindAnotherCounts guards against a request that waits behind another of its
// connection and is sent to a server after its deadline, because the wait did not count.
func TestWaitBehindAnotherCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/get/") {
			time.Sleep(500 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "x")
	}
	reader := f.pipeline(g, pipelinedRequest("GET", "/get/x", "slow", 1500), pipelinedRequest("POST", "/post/x", "late", 300), pipelinedRequest("POST", "/post/x", "timely", 1500))
	for _, want := range []struct {
		id, code string
		status   int
	}{{"slow", "", 200}, {"late", "53", 503}, {"timely", "", 200}} {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect([]any{response.Header.Get(testHeaders.RequestID), response.StatusCode, response.Header.Get(HeaderResult)}).To(gomega.Equal([]any{want.id, want.status, want.code}))
	}
	g.Expect(f.nodes[0].backend.runCount("late")).To(gomega.BeZero())
}

// TestPipelinedResponsesShareABound guards against a caller that makes a node hold many
// large responses behind a slow one.
func TestPipelinedResponsesShareABound(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 400_000
	f := newTestFleet(t, 1, 16)
	// A large response tells that those of its route are, and later requests then wait for
	// the first one: none is sent before all requests run.
	allRun, release := make(chan struct{}), make(chan struct{})
	sendOthers, sendFirst := sync.OnceFunc(func() { close(allRun) }), sync.OnceFunc(func() { close(release) })
	defer sendFirst()
	defer sendOthers()
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testHeaders.RequestID) == "id-0" {
			<-release
		}
		<-allRun
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	}
	pipelined := ingress.DefaultConfig().MaxPipelined
	var requests []string
	for i := range pipelined {
		requests = append(requests, pipelinedRequest("GET", "/get/x", "id-"+strconv.Itoa(i), 10_000))
	}
	reader := f.pipeline(g, requests...)
	backend := f.nodes[0].backend
	for i := range pipelined {
		g.Eventually(func() int { return backend.runCount("id-" + strconv.Itoa(i)) }).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
	}
	sendOthers()
	var peak int64
	for range 100 {
		peak = max(peak, f.nodes[0].proxy.inbound.buffers.used.Load())
		time.Sleep(2 * time.Millisecond)
	}
	sendFirst()
	g.Expect(peak).To(gomega.BeNumerically("<=", ingress.DefaultConfig().MaxBufferedBytes), "bytes held behind the first response")
	for i := range pipelined {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		n, err := io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect([]any{response.StatusCode, response.Header.Get(testHeaders.RequestID), n}).To(gomega.Equal([]any{200, "id-" + strconv.Itoa(i), int64(size)}))
	}
}

// TestUpgradeInThePipeline guards against an upgrade that reaches a server, which would
// speak another protocol behind its response, and against one that disturbs the pipeline.
func TestUpgradeInThePipeline(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Upgrade")+r.Header.Get("Connection"))
	}
	upgrade := fmt.Sprintf("GET /get/x HTTP/1.1\r\nHost: %s\r\n%s: b\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", testHost, testHeaders.RequestID)
	reader := f.pipeline(g, pipelinedRequest("GET", "/get/x", "a", 1500), upgrade, pipelinedRequest("GET", "/get/x", "c", 1500))
	for _, id := range []string{"a", "b", "c"} {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect([]any{response.StatusCode, response.Header.Get(testHeaders.RequestID), string(body), response.Close}).To(gomega.Equal([]any{200, id, "", false}))
	}
}

// TestSwitchedProtocolIsNoResponse guards against a server that switches the protocol
// without being asked, and whose bytes are taken for a response.
func TestSwitchedProtocolIsNoResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	f.nodes[0].backend.handle = func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n\x81\x05hello")
	}
	got := f.post("switched", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect([]any{got.status, got.header.Get(HeaderResult), got.header.Get("Upgrade")}).To(gomega.Equal([]any{http.StatusBadGateway, "70", ""}))
}
