package call

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// closingNode sends a response on each connection before it reads a call, as a node does
// that stops.
type closingNode struct {
	port  int
	conns atomic.Int64
}

func closeWithResponse(t *testing.T, g *gomega.WithT, ip string, response []byte) *closingNode {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	n := &closingNode{port: listener.Addr().(*net.TCPAddr).Port}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.conns.Add(1)
			go func() {
				defer conn.Close()
				_, _ = conn.Write(response)
				_, _ = http.ReadRequest(bufio.NewReader(conn))
			}()
		}
	}()
	return n
}

func (n *closingNode) accepted() int64 { return n.conns.Load() }
