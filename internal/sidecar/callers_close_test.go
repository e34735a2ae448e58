package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/ingress"
	"rosemaryladder.dev/rosemaryladder/internal/proxy"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
	"rosemaryladder.dev/rosemaryladder/internal/telemetry"
)

// TestLateStopAnswersReadRequests guards against requests of other callers that are read
// and get no response because a long request was in flight up to the end of the grace.
func TestLateStopAnswersReadRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		rounds, conns = 15, 50
		// spread is the time around the close in which the requests are sent.
		spread = 2 * time.Millisecond
	)
	unanswered, answeredTotal := 0, 0
	for range rounds {
		var handled, answered atomic.Int64
		longStarted := make(chan struct{})
		config := ingress.DefaultConfig()
		config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				close(longStarted)
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			handled.Add(1)
			_, _ = io.WriteString(w, "ok")
		})
		config.Reject = func(w http.ResponseWriter, status int, _ result.Code, message string) { http.Error(w, message, status) }
		config.Idempotent = func(*http.Request) bool { return true }
		config.Limits = func() *routing.Limits { return nil }
		config.Log, config.Scope = telemetry.DiscardLogger(), tally.NoopScope
		callers, err := ingress.NewServer(config)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		served := make(chan error, 1)
		go func() { served <- callers.Serve(socket) }()
		send := func(conn net.Conn, path string) error {
			_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			return err
		}
		receive := func(reader *bufio.Reader) error {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			return err
		}
		dial := func() net.Conn {
			conn, err := net.Dial("tcp", socket.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			return conn
		}
		long := dial()
		g.Expect(send(long, "/long")).To(gomega.Succeed())
		<-longStarted
		var senders, warm sync.WaitGroup
		warm.Add(conns)
		drained := make(chan struct{})
		for i := range conns {
			conn := dial()
			senders.Go(func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				err := send(conn, "/warm")
				if err == nil {
					err = receive(reader)
				}
				warm.Done()
				if err != nil {
					t.Error(err)
					return
				}
				answered.Add(1)
				<-drained
				time.Sleep(spread * time.Duration(i) / conns)
				// The write fails when the server has closed the connection already.
				if send(conn, "/x") == nil && receive(reader) == nil {
					answered.Add(1)
				}
			})
		}
		warm.Wait()
		callers.Drain()
		close(drained)
		node := &Sidecar{callers: callers, proxy: &proxy.Proxy{}, log: telemetry.DiscardLogger()}
		time.Sleep(spread / 2)
		node.endRequests(time.Now(), time.Now().Add(callersCloseMinimum))
		senders.Wait()
		g.Expect(<-served).To(gomega.Succeed())
		long.Close()
		unanswered += int(handled.Load() - answered.Load())
		answeredTotal += int(answered.Load()) - conns
	}
	t.Logf("%d of %d requests at the end were answered", answeredTotal, rounds*conns)
	g.Expect(unanswered).To(gomega.BeZero(), "requests that were handled and not answered")
}
