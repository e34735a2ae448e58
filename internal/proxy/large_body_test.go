package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/httpserver"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/slots"
)

// largeBodyBytes is the size of a body of which a proxy buffers only the first part.
const largeBodyBytes = 3 << 20

// largeBodyFleet is an outbound proxy without a server, a node whose slot is taken, and a
// node that is not in the fleet yet. It records the bodies that the servers ran.
type largeBodyFleet struct {
	*testFleet
	body    []byte
	release func(bool)

	mu   sync.Mutex
	runs [][sha256.Size]byte
}

func newLargeBodyFleet(t *testing.T, g *gomega.WithT) *largeBodyFleet {
	f := &largeBodyFleet{
		testFleet: startTestFleet(&testFleet{t: t, routes: testRoutesWith(20*time.Second, 64<<20)}, 3, 1),
		body:      bytes.Repeat([]byte("0123456789abcdef"), largeBodyBytes/16),
	}
	for i, n := range f.nodes {
		n.backend.handle = func(w http.ResponseWriter, r *http.Request) {
			content, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			f.mu.Lock()
			f.runs = append(f.runs, sha256.Sum256(content))
			f.mu.Unlock()
			_, _ = io.WriteString(w, "done")
		}
		if i != 1 {
			f.setState(n, fleet.Draining)
		}
	}
	release, err := f.nodes[1].slots.Acquire(context.Background(), slots.Request{Route: "post", Deadline: time.Now().Add(time.Minute)})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.release = release
	return f
}

func (f *largeBodyFleet) setState(n *testNode, state fleet.State) {
	n.state = state
	f.publish(n)
}

// sendLarge sends an order with the large body.
func (f *largeBodyFleet) sendLarge(chunked bool) reply {
	return f.sendLargeWithin(context.Background(), chunked)
}

func (f *largeBodyFleet) sendLargeWithin(ctx context.Context, chunked bool) reply {
	var body io.Reader = bytes.NewReader(f.body)
	if chunked {
		body = io.MultiReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.nodes[0].outboundURL+"/post/x", body)
	if err != nil {
		return reply{err: err}
	}
	request.Host = testHost
	request.Header.Set(testHeaders.RequestID, "large")
	request.Header.Set(testHeaders.DeadlineMs, "20000")
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

func (f *largeBodyFleet) expectOnlyCompleteBodies(g *gomega.WithT) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, run := range f.runs {
		g.Expect(run).To(gomega.Equal(sha256.Sum256(f.body)), "a server ran the request with another body")
	}
}

// TestRefusedLargeBodyIsNotSentInPart guards against a server that runs a request with
// the part of its body which an earlier node has not read, and against any response but
// a refusal that says that the request did not run.
func TestRefusedLargeBodyIsNotSentInPart(t *testing.T) {
	for name, c := range map[string]struct {
		chunked bool
		// refuse makes the node that holds the request refuse it.
		refuse func(*largeBodyFleet)
	}{
		"server leaves, chunked": {true, (*largeBodyFleet).drainServer},
		"server leaves, sized":   {false, (*largeBodyFleet).drainServer},
		"server gone, chunked":   {true, (*largeBodyFleet).loseServer},
		"server gone, sized":     {false, (*largeBodyFleet).loseServer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := newLargeBodyFleet(t, g)
			replies := make(chan reply, 1)
			go func() { replies <- f.sendLarge(c.chunked) }()
			g.Eventually(func() int { return f.nodes[1].slots.Load().Waiting }).Should(gomega.Equal(1))
			f.setState(f.nodes[2], fleet.Ready)
			c.refuse(f)
			got := <-replies
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), got.body)
			f.expectOnlyCompleteBodies(g)
			g.Expect(f.runs).To(gomega.BeEmpty(), "the refusal says that the request did not run")
		})
	}
}

func (f *largeBodyFleet) drainServer() {
	n := f.nodes[1]
	n.tracker.Leave("server-b", 0)
	n.slots.Close(result.Errorf(result.Draining, "leaving"))
}

func (f *largeBodyFleet) loseServer() {
	n := f.nodes[1]
	n.tracker.MarkAbsent("server-b")
	n.slots.Close(result.Errorf(result.ServerGone, "gone"))
}

// TestNodeWithoutBufferRefusesLargeBody guards against a body that is sent on in part
// after a node had no room to buffer its first megabyte.
func TestNodeWithoutBufferRefusesLargeBody(t *testing.T) {
	for _, chunked := range []bool{true, false} {
		g := gomega.NewWithT(t)
		f := newLargeBodyFleet(t, g)
		f.release(false)
		buffers := f.nodes[1].proxy.inbound.buffers
		buffers.take(buffers.capacity - 100_000)
		got := f.sendLarge(chunked)
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), got.body)
		g.Expect(f.runs).To(gomega.BeEmpty())
	}
}

// TestLargeBodyWaitsForASlot guards against a connection that the kernel closes while the
// node that queues the request does not read the rest of its body.
func TestLargeBodyWaitsForASlot(t *testing.T) {
	for name, chunked := range map[string]bool{"chunked": true, "sized": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := newLargeBodyFleet(t, g)
			replies := make(chan reply, 1)
			go func() { replies <- f.sendLarge(chunked) }()
			g.Eventually(func() int { return f.nodes[1].slots.Load().Waiting }).Should(gomega.Equal(1))
			time.Sleep(2 * unackedTimeout)
			f.release(false)
			got := <-replies
			g.Expect(got.err).NotTo(gomega.HaveOccurred())
			g.Expect(got.status).To(gomega.Equal(http.StatusOK), got.body)
			f.expectOnlyCompleteBodies(g)
		})
	}
}

// TestCallerThatLeavesALargeBodyIsNoticed guards against a request that waits at another
// node, or runs, although its caller has left, because its body has not been read through.
func TestCallerThatLeavesALargeBodyIsNoticed(t *testing.T) {
	expectLeavingIsNoticed(t, 1<<20+100<<10)
}

// TestCallerThatLeavesAHugeBodyIsNoticed guards against the same with a body whose unread
// part exceeds the receive buffer of the outbound proxy: the close of the caller's
// connection then stays behind bytes that its kernel can't send.
func TestCallerThatLeavesAHugeBodyIsNoticed(t *testing.T) {
	expectLeavingIsNoticed(t, largeBodyBytes, 12<<20)
}

func expectLeavingIsNoticed(t *testing.T, sizes ...int) {
	for _, size := range sizes {
		for name, chunked := range map[string]bool{"chunked": true, "sized": false} {
			t.Run(fmt.Sprintf("%d bytes, %s", size, name), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := newLargeBodyFleet(t, g)
				f.body = bytes.Repeat([]byte("x"), size)
				f.serveInbound(t, g, f.nodes[1])
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				ended := make(chan reply, 1)
				go func() { ended <- f.sendLargeWithin(ctx, chunked) }()
				g.Eventually(func() int { return f.nodes[1].slots.Load().Waiting }).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
				time.Sleep(100 * time.Millisecond)
				cancel()
				g.Eventually(func() int { return f.nodes[1].slots.Load().Waiting }).WithTimeout(500 * time.Millisecond).Should(gomega.BeZero())
				f.release(false)
				g.Expect((<-ended).err).To(gomega.HaveOccurred())
				time.Sleep(100 * time.Millisecond)
				g.Expect(f.nodes[1].backend.runCount("large")).To(gomega.BeZero())
			})
		}
	}
}

// serveInbound serves the inbound proxy of a node as the sidecar does.
func (f *largeBodyFleet) serveInbound(t *testing.T, g *gomega.WithT, n *testNode) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := httpserver.New(httpserver.Options{Handler: n.proxy.InboundHandler(http.NotFoundHandler()), CloseTimeout: time.Second})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	n.inboundAddress = listener.Addr().String()
	f.publish(n)
}
