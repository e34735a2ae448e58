package sidecar

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/exchange"
)

const (
	closeRounds     = 40
	closeSenders    = 16
	requestIDHeader = "X-Id"
	testRefusal     = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// TestInboundCloseLosesNoRequest guards against a request on a kept connection of another
// node that is neither handled nor refused when the inbound proxy closes at the end of a
// stop: the other node can't know that it did not run.
func TestInboundCloseLosesNoRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var sent, lost, unaccepted, falselyRefused atomic.Int64
	for range closeRounds {
		var handled sync.Map
		started := make(chan struct{})
		start := sync.OnceFunc(func() { close(started) })
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled.Store(r.Header.Get(requestIDHeader), true)
			start()
			w.WriteHeader(http.StatusProcessing)
			_, _ = io.WriteString(w, "ok")
		})
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		l := &listener{name: "gate", socket: socket, server: newHTTPServer(handler, []byte(testRefusal))}
		served := make(chan error, 1)
		go func() { served <- l.serve() }()
		var senders sync.WaitGroup
		for i := range closeSenders {
			senders.Go(func() {
				dials := 0
				client := exchange.NewClient(exchange.Options{
					Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						dials++
						return (&net.Dialer{}).DialContext(ctx, network, address)
					},
					MaxIdle: 1, IdleTimeout: time.Minute, MaxHeadBytes: 4096, Now: time.Now,
				})
				defer client.Close()
				for j := 0; ; j++ {
					id := strconv.Itoa(i) + "-" + strconv.Itoa(j)
					dialsBefore := dials
					refused, err := sendOnce(t.Context(), client, socket.Addr().String(), id)
					sent.Add(1)
					_, found := handled.Load(id)
					switch {
					case err != nil && err.MaybeDelivered && !found && dials > dialsBefore:
						// The kernel resets connections that the server has not accepted yet.
						unaccepted.Add(1)
					case err != nil && err.MaybeDelivered && !found:
						lost.Add(1)
					case refused && found:
						falselyRefused.Add(1)
					}
					if err != nil || refused {
						return
					}
				}
			})
		}
		<-started
		time.Sleep(time.Duration(rand.IntN(5000)) * time.Microsecond)
		l.close()
		senders.Wait()
		g.Expect(<-served).To(gomega.Succeed())
	}
	t.Logf("%d requests, %d on connections that were not accepted", sent.Load(), unaccepted.Load())
	g.Expect(lost.Load()).To(gomega.BeZero())
	g.Expect(falselyRefused.Load()).To(gomega.BeZero())
}

func sendOnce(ctx context.Context, client *exchange.Client, address, id string) (refused bool, err *exchange.Error) {
	e, exchangeErr := client.Do(ctx, address, &exchange.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Body: &exchange.Body{},
		AddedHeaders: []exchange.HeaderField{{Name: requestIDHeader, Value: id}},
	})
	if exchangeErr != nil {
		return false, exchangeErr
	}
	_, readErr := io.Copy(io.Discard, e.Response.Body)
	e.Finish(readErr == nil)
	return e.Response.StatusCode == http.StatusServiceUnavailable, nil
}

// TestCloseEndsStartedRequests guards against a check-in whose acknowledgement is cut off
// when the node stops. Its idle connections end without a byte.
func TestCloseEndsStartedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	started := make(chan struct{})
	server := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "acknowledged")
	}), nil)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- server.Serve(socket) }()
	idle, err := net.Dial("tcp", socket.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer idle.Close()
	busy, err := net.Dial("tcp", socket.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer busy.Close()
	_, err = io.WriteString(busy, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-started
	closedAt := time.Now()
	g.Expect(server.Close()).To(gomega.Succeed())
	g.Expect(time.Since(closedAt)).To(gomega.BeNumerically("<", 2*closeTimeout))
	g.Expect(<-served).To(gomega.MatchError(http.ErrServerClosed))
	response, err := io.ReadAll(busy)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(response)).To(gomega.HaveSuffix("acknowledged"))
	g.Expect(io.ReadAll(idle)).To(gomega.BeEmpty())
}
