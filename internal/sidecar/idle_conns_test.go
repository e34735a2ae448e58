package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestIdleConnectionsAreClosed guards against connections that callers leave open and
// that hold memory for longer than the operators allow, and against closing one
// with a request in flight.
func TestIdleConnectionsAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	conns := newIdleConns()
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}))
	server.Config.ConnState = conns.trackState
	server.Start()
	t.Cleanup(server.Close)
	dial := func(path string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return conn, bufio.NewReader(conn)
	}
	idle, idleReader := dial("/")
	_, err := http.ReadResponse(idleReader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, busyReader := dial("/slow")
	isIdle := func() int {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return len(conns.idleSince)
	}
	g.Eventually(isIdle).WithTimeout(5 * time.Second).Should(gomega.Equal(1))
	const limit = 15 * time.Second
	conns.closeIdle(time.Now().Add(limit-5*time.Second), limit)
	g.Expect(idle.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(gomega.Succeed())
	_, err = idleReader.ReadByte()
	g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue(), "within the limit")
	conns.closeIdle(time.Now().Add(limit), limit)
	g.Expect(idle.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = idleReader.ReadByte()
	g.Expect(err).To(gomega.MatchError(io.EOF))
	close(release)
	_, err = http.ReadResponse(busyReader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a connection with a request stays")
}
