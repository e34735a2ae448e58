package exchange

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func newTestClient() *Client {
	var dialer net.Dialer
	return NewClient(Options{Dial: dialer.DialContext, MaxIdle: 1, IdleTimeout: time.Second, MaxHeadBytes: 1 << 10, Now: time.Now})
}

// TestRefusesConnectionsWaitsForListener guards against a process that exits
// slowly and counts as running because its listener closes after its connections.
func TestRefusesConnectionsWaitsForListener(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.AfterFunc(200*time.Millisecond, func() { listener.Close() })
	client := newTestClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	g.Expect(client.RefusesConnections(ctx, listener.Addr().String())).To(gomega.BeTrue())
}

// TestRunningServerDoesNotRefuse guards against a server that counts as crashed
// because it closed one connection.
func TestRunningServerDoesNotRefuse(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	client := newTestClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(client.RefusesConnections(ctx, listener.Addr().String())).To(gomega.BeFalse())
}
