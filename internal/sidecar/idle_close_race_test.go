package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// idleCloseRounds is the number of requests that are sent while the idle limit of
// their connection ends.
const idleCloseRounds = 4000

// TestIdleCloseKeepsStartedRequests guards against a request that is handled although
// its connection was closed as idle. net/http reports a connection as active only
// after it has read the head of a request, so that closeIdle can still find the
// connection idle when the handler is about to run.
func TestIdleCloseKeepsStartedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	conns := newIdleConns()
	var handled atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	server.Config.ConnState = conns.trackState
	server.Start()
	t.Cleanup(server.Close)
	hasIdle := func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return len(conns.idleSince) > 0
	}
	responses := 0
	for round := range idleCloseRounds {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reader := bufio.NewReader(conn)
		receive := func() error {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return err
			}
			_, err := http.ReadResponse(reader, nil)
			return err
		}
		g.Expect(receive()).To(gomega.Succeed())
		responses++
		g.Eventually(hasIdle).WithPolling(10 * time.Microsecond).WithTimeout(5 * time.Second).Should(gomega.BeTrue())
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			time.Sleep(time.Duration(round%60) * time.Microsecond)
			conns.closeIdle(time.Now().Add(time.Hour), time.Second)
		}()
		if receive() == nil {
			responses++
		}
		<-closed
		g.Expect(conn.Close()).To(gomega.Succeed())
	}
	server.Close()
	g.Expect(handled.Load()).To(gomega.Equal(int64(responses)), "a handled request got no response")
}
