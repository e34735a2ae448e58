package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startServer runs a script on each connection to a new listener and returns a
// client and the address.
func startServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) (client *Client, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	client = NewClient(Options{
		Dial: (&net.Dialer{}).DialContext, MaxIdle: 4, IdleTimeout: time.Minute, MaxHeadBytes: 4096, Now: time.Now,
	})
	t.Cleanup(client.Close)
	return client, listener.Addr().String()
}

func newTestRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, URI: "/", Host: "h", Body: &Body{}, AddedHeaders: []HeaderField{{Name: "X-Id", Value: id}},
		Matches: func(response *http.Response, _ bool) bool { return response.Header.Get("X-Id") == id },
	}
}

func writeResponse(conn net.Conn, id, extra string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", id, extra)
}

// TestUnmatchedResponsesAreSkipped guards against a duplicate response to an
// earlier request that is taken for the response to this one.
func TestUnmatchedResponsesAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	client, address := startServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if request, err := http.ReadRequest(requests); err == nil {
			writeResponse(conn, "earlier", "")
			writeResponse(conn, request.Header.Get("X-Id"), "")
		}
	})
	e, exchangeErr := client.Do(context.Background(), address, newTestRequest("current"))
	g.Expect(exchangeErr).To(gomega.BeNil())
	g.Expect(e.Response.Header.Get("X-Id")).To(gomega.Equal("current"))
	e.Finish(false)
}

// TestBodyIsNotSentToUnresponsivePeer guards against sending the body to a
// peer that did not respond, which would make the outcome unknown.
func TestBodyIsNotSentToUnresponsivePeer(t *testing.T) {
	g := gomega.NewWithT(t)
	got := make(chan string, 1)
	client, address := startServer(t, func(conn net.Conn, requests *bufio.Reader) {
		buffer := make([]byte, 4096)
		n, _ := requests.Read(buffer)
		got <- string(buffer[:n])
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, _ = requests.Read(buffer)
		got <- string(buffer[:n])
	})
	request := newTestRequest("current")
	request.Method, request.ExpectContinue, request.AckTimeout = http.MethodPost, true, 50*time.Millisecond
	request.Body = &Body{Buffered: []byte("order"), Length: 5}
	_, exchangeErr := client.Do(context.Background(), address, request)
	g.Expect(exchangeErr).NotTo(gomega.BeNil())
	g.Expect(exchangeErr.MaybeDelivered).To(gomega.BeFalse())
	g.Expect(exchangeErr.Unresponsive).To(gomega.BeTrue())
	g.Expect(<-got).To(gomega.ContainSubstring("Expect: 100-continue"))
	g.Expect(<-got).To(gomega.BeEmpty())
}

// TestAnnouncedIdleTimeout guards against a request on a connection that the peer
// is about to close.
func TestAnnouncedIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	client, address := startServer(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			writeResponse(conn, request.Header.Get("X-Id"), "Keep-Alive: timeout=1\r\n")
		}
	})
	send := func() {
		e, exchangeErr := client.Do(context.Background(), address, newTestRequest("current"))
		g.Expect(exchangeErr).To(gomega.BeNil())
		buffer := make([]byte, 2)
		_, _ = e.Response.Body.Read(buffer)
		e.Finish(true)
	}
	send()
	g.Expect(client.OpenConnections(address)).To(gomega.Equal(1))
	first := client.pool(address).idle[0]
	time.Sleep(600 * time.Millisecond)
	send()
	g.Expect(client.pool(address).idle[0]).NotTo(gomega.BeIdenticalTo(first))
}

// TestKeepWaitingAfterAckTimeout guards against aborting a request that its
// server is running, when the first byte is late and the node is shutting down.
// It also guards against waiting for an unresponsive peer in any other case.
func TestKeepWaitingAfterAckTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, keepWaiting := range []bool{true, false} {
		client, address := startServer(t, func(conn net.Conn, requests *bufio.Reader) {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
			writeResponse(conn, "1", "")
		})
		request := newTestRequest("1")
		request.AckTimeout = 30 * time.Millisecond
		request.KeepWaiting = func() bool { return keepWaiting }
		e, exchangeErr := client.Do(t.Context(), address, request)
		if !keepWaiting {
			g.Expect(exchangeErr).NotTo(gomega.BeNil())
			g.Expect(exchangeErr.Unresponsive).To(gomega.BeTrue())
			continue
		}
		g.Expect(exchangeErr).To(gomega.BeNil())
		g.Expect(e.Response.StatusCode).To(gomega.Equal(http.StatusOK))
		e.Finish(true)
	}
}
