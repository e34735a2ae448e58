package faultproxy

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/standin/arrival"
)

// TestFaults guards against a proxy that does not inject its faults, which would make
// the soak pass without testing anything.
func TestFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer echo.Close()
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	p, err := Start("127.0.0.1:0", echo.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer p.Close()
	roundTrip := func(conn net.Conn, within time.Duration) error {
		_ = conn.SetDeadline(time.Now().Add(within))
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
	conn, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(roundTrip(conn, 5*time.Second)).To(gomega.Succeed())
	p.Set(Delay)
	startedAt := time.Now()
	g.Expect(roundTrip(conn, 5*time.Second)).To(gomega.Succeed())
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">=", delay))
	for _, fault := range []Fault{Stall, StallResponses} {
		p.Set(fault)
		g.Expect(roundTrip(conn, 50*time.Millisecond)).NotTo(gomega.Succeed())
		p.Set(None)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = io.ReadFull(conn, make([]byte, 1))
		g.Expect(err).NotTo(gomega.HaveOccurred(), "stalled data arrives after the fault")
	}
	p.Set(Reset)
	g.Expect(roundTrip(conn, 5*time.Second)).NotTo(gomega.Succeed())
}

// TestLastSentIsTheArrival guards against chunks that are dated when the proxy reads or
// forwards them, so that a soak takes them for late ones.
func TestLastSentIsTheArrival(t *testing.T) {
	g := gomega.NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer target.Close()
	p, err := Start("127.0.0.1:0", target.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer p.Close()
	client, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer client.Close()
	server, err := target.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	p.Set(Delay)
	g.Eventually(func() bool {
		_, err = io.WriteString(client, "x")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		sentAt := time.Now().Round(0)
		_, err = io.ReadFull(server, make([]byte, 1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return !p.LastSent(server.RemoteAddr().String()).After(sentAt)
	}).Should(gomega.BeTrue(), "every chunk is dated after it was sent")
}

// failingListener fails the first accepts as a process without free descriptors does.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestFailedAcceptsEndNoProxy guards against a proxy that accepts nothing any more after
// the process was out of descriptors for a moment, so that a soak takes the host behind it
// for one that does not recover.
func TestFailedAcceptsEndNoProxy(t *testing.T) {
	g := gomega.NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer target.Close()
	listener, err := arrival.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	p := newProxy(failing, target.Addr().String())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.accept()
	}()
	client, err := net.Dial("tcp", p.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer client.Close()
	g.Expect(target.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	server, err := target.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the connection was not forwarded")
	server.Close()
	p.Close()
	g.Eventually(ended).Should(gomega.BeClosed(), "Close ends the proxy")
}
