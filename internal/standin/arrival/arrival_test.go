package arrival

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// readDelay is the time between the arrival of bytes and their read.
const readDelay = 50 * time.Millisecond

// TestBytesAreDatedByTheirArrival guards against bytes that are dated when they are read,
// and against ones that are dated before they were sent.
func TestBytesAreDatedByTheirArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	awaitTimestamps(g, listener)
	client, err := DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer client.Close()
	before, after := write(g, client)
	// The first bytes arrive before the connection is accepted.
	server, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	expectArrival(g, server, before, after)
	for range 3 {
		before, after = write(g, client)
		expectArrival(g, server, before, after)
		before, after = write(g, server)
		expectArrival(g, client, before, after)
	}
	received := server.(*Conn).LastReceived()
	client.Close()
	_, err = server.Read(make([]byte, 1))
	g.Expect(err).To(gomega.Equal(io.EOF))
	g.Expect(server.(*Conn).LastReceived()).To(gomega.Equal(received))
}

// awaitTimestamps waits until the kernel dates packets. It begins a moment after the
// first socket has asked for it.
func awaitTimestamps(g *gomega.WithT, listener net.Listener) {
	client, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer client.Close()
	server, err := listener.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	g.Eventually(func() bool {
		_, after := write(g, client)
		_, err := io.ReadFull(server, make([]byte, len(message)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return !server.(*Conn).LastReceived().After(after)
	}).Should(gomega.BeTrue(), "the kernel dates no packets")
}

// message is the text that write sends.
const message = "message"

// write sends the message, waits for readDelay and returns the times around the sending.
// They have no monotonic part, because that of the kernel's clock can't be compared.
func write(g *gomega.WithT, conn net.Conn) (before, after time.Time) {
	before = time.Now().Round(0)
	_, err := io.WriteString(conn, message)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	after = time.Now().Round(0)
	time.Sleep(readDelay)
	return before, after
}

// expectArrival reads the message in two parts and expects that both arrived while it
// was sent.
func expectArrival(g *gomega.WithT, conn net.Conn, before, after time.Time) {
	for _, size := range []int{1, len(message) - 1} {
		_, err := io.ReadFull(conn, make([]byte, size))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.(*Conn).LastReceived()).To(gomega.And(gomega.BeTemporally(">=", before), gomega.BeTemporally("<=", after)))
	}
}

// TestReadsKeepTheirDeadlines guards against a read that never ends, because it waits for
// a socket past the deadline or the close of its connection.
func TestReadsKeepTheirDeadlines(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer listener.Close()
	conn, err := DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(readDelay))).To(gomega.Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&net.OpError{}))
	g.Expect(err.(net.Error).Timeout()).To(gomega.BeTrue())
	g.Expect(conn.SetReadDeadline(time.Time{})).To(gomega.Succeed())
	time.AfterFunc(readDelay, func() { conn.Close() })
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.MatchError(net.ErrClosed))
}
