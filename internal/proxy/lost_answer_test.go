package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// cuttingRelay forwards connections to a target and resets the first one after a number
// of bytes in one direction.
type cuttingRelay struct {
	address string
	target  string
	// cutRequest and cutResponse are the bytes after which the connection is cut;
	// negative for never.
	cutRequest, cutResponse atomic.Int64
}

func startCuttingRelay(t *testing.T, target string) *cuttingRelay {
	r := &cuttingRelay{target: target}
	r.address = serveConns(t, r.serve)
	return r
}

func (r *cuttingRelay) cut(afterRequestBytes, afterResponseBytes int64) {
	r.cutRequest.Store(afterRequestBytes)
	r.cutResponse.Store(afterResponseBytes)
}

func (r *cuttingRelay) serve(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	cut := func() {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		server.Close()
	}
	forward := func(to, from net.Conn, limit int64) {
		defer cut()
		if limit < 0 {
			_, _ = io.Copy(to, from)
			return
		}
		_, _ = io.CopyN(to, from, limit)
	}
	go forward(server, client, r.cutRequest.Load())
	forward(client, server, r.cutResponse.Load())
}

// TestLostAnswers guards against an order that runs again after its response was lost,
// and against one that ran and is refused as not run. The connection between the two
// nodes is cut after every number of bytes in either direction.
func TestLostAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 2, 4)
	// Only the second node takes requests, behind the relay.
	f.nodes[0].tracker.MarkAbsent("server-a")
	relay := startCuttingRelay(t, f.nodes[1].inbound.Listener.Addr().String())
	f.nodes[1].inboundAddress = relay.address
	f.nodes[0].state = fleet.Absent
	f.publish(f.nodes[0])
	f.publish(f.nodes[1])
	outcomes := make(map[string]int)
	check := func(id, method, path string) {
		got := f.send(t.Context(), method, path, id, "order")
		f.nodes[0].proxy.outbound.client.CloseIdle(relay.address)
		runs := f.nodes[1].backend.runCount(id)
		outcomes[fmt.Sprintf("%s %d ran %d", method, got.status, runs)]++
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		if method == http.MethodPost {
			g.Expect(runs).To(gomega.BeNumerically("<=", 1), id)
		}
		if got.status == http.StatusServiceUnavailable {
			g.Expect(runs).To(gomega.BeZero(), id+": "+got.body)
		}
		if got.status == http.StatusOK {
			g.Expect(runs).To(gomega.BeNumerically(">=", 1), id)
		}
	}
	const lastByte, step = 700, 7
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		path := map[string]string{http.MethodPost: "/post/x", http.MethodGet: "/get/x"}[method]
		for n := int64(0); n < lastByte; n += step {
			relay.cut(n, -1)
			check(fmt.Sprintf("request-%s-%d", method, n), method, path)
			relay.cut(-1, n)
			check(fmt.Sprintf("response-%s-%d", method, n), method, path)
		}
	}
	t.Log(outcomes)
	g.Expect(outcomes).To(gomega.HaveKey("POST 502 ran 1"), "no response was lost")
	g.Expect(outcomes).To(gomega.HaveKey("POST 503 ran 0"), "no request was lost")
}
