package proxy

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// TestClosingResponseMeansNotRun guards against a non-idempotent request that fails as
// one of unknown outcome when it crosses the close of its connection to another node.
// The other node says so, and the request goes to a third one.
func TestClosingResponseMeansNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 3, 4)
	f.nodes[0].state = fleet.Draining
	f.publish(f.nodes[0])
	for _, n := range f.nodes[1:] {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { listener.Close() })
		go closeWithResponse(listener, n.proxy.ClosingResponse())
		n.inboundAddress = listener.Addr().String()
		f.publish(n)
	}
	got := f.post("1", "")
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable), got.body)

	f.nodes[2].inboundAddress = f.nodes[2].inbound.Listener.Addr().String()
	f.publish(f.nodes[2])
	for range 4 {
		expectResponse(g, f.post("2", ""), "2", "")
	}
}

// closeWithResponse sends a response on each connection, before any request is read.
func closeWithResponse(listener net.Listener, response []byte) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = conn.Write(response)
			_, _ = http.ReadRequest(bufio.NewReader(conn))
		}()
	}
}

// TestClosingResponseIsOneResponse guards against a refusal that a node reads as several
// or as a part of a response.
func TestClosingResponseIsOneResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := bufio.NewReader(bytes.NewReader(newTestFleet(t, 1, 1).nodes[0].proxy.ClosingResponse()))
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Close).To(gomega.BeTrue())
	var body bytes.Buffer
	g.Expect(body.ReadFrom(response.Body)).To(gomega.BeNumerically(">", 0))
	g.Expect(reader.Buffered()).To(gomega.BeZero())
}
