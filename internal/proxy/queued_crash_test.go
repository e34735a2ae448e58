package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/crash"
	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

// TestQueuedContentIsRefusedOnceBlocked guards against content that runs although it is
// refused by then, because it was waiting for a slot when the block arrived.
func TestQueuedContentIsRefusedOnceBlocked(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 1)
	n := f.nodes[0]
	running, finish := make(chan struct{}, 2), make(chan struct{})
	n.backend.handle = func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-finish
	}
	first, queued := make(chan reply), make(chan reply)
	go func() { first <- f.post("first", "body") }()
	<-running
	go func() { queued <- f.send(t.Context(), http.MethodPost, "/post/poison", "queued", "body") }()
	g.Eventually(func() int { return n.slots.Load().Waiting }).Should(gomega.Equal(1))
	request := &upstreamRequest{method: http.MethodPost, host: testHost, uri: "/post/poison", body: &exchange.Body{Buffered: []byte("body"), Length: 4}}
	blockContent(f, request.content())
	close(finish)
	g.Expect((<-first).status).To(gomega.Equal(http.StatusOK))
	got := <-queued
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), got.body)
	g.Expect(n.backend.runCount("queued")).To(gomega.BeZero())
}

// TestRetriedContentThatIsBlockedMayHaveRun guards against a refusal that says "not run"
// for a request which has crashed a server before its content was blocked.
func TestRetriedContentThatIsBlockedMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 2, 4)
	request := &upstreamRequest{method: http.MethodGet, host: testHost, uri: "/get/poison", body: &exchange.Body{}}
	for _, n := range f.nodes {
		n.backend.handle = func(http.ResponseWriter, *http.Request) {
			blockContent(f, request.content())
			panic(http.ErrAbortHandler)
		}
	}
	got := f.send(t.Context(), http.MethodGet, "/get/poison", "a", "")
	g.Expect(f.nodes[0].backend.runCount("a") + f.nodes[1].backend.runCount("a")).To(gomega.Equal(1))
	g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway), got.body)
}

// blockContent has content refused by the fleet.
func blockContent(f *testFleet, content crash.Fingerprint) {
	n := f.nodes[0]
	for i := range 3 {
		server := "crashed-" + string(rune('a'+i))
		at := f.now().Add(time.Duration(i) * time.Millisecond)
		n.crashes.AddBroken(at, server, content)
		n.crashes.AddCrash(at, server)
	}
	f.publish(n)
}
