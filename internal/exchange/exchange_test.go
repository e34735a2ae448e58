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

// serve answers each connection with a script of its own.
func serve(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) (client *Client, address string) {
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

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, URI: "/", Host: "h", Body: &Body{}, AddedHeaders: []HeaderField{{Name: "X-Id", Value: id}},
		Matches: func(response *http.Response) bool { return response.Header.Get("X-Id") == id },
	}
}

func answer(conn net.Conn, id, extra string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", id, extra)
}

// TestForeignAnswersAreSkipped guards against a second answer to an earlier request
// that is taken for the answer to this one.
func TestForeignAnswersAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	client, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		if request, err := http.ReadRequest(requests); err == nil {
			answer(conn, "earlier", "")
			answer(conn, request.Header.Get("X-Id"), "")
		}
	})
	e, failed := client.Do(context.Background(), address, get("mine"))
	g.Expect(failed).To(gomega.BeNil())
	g.Expect(e.Response.Header.Get("X-Id")).To(gomega.Equal("mine"))
	e.Finish(false)
}

// TestHeldBody guards against a body that leaves for a peer that is silent, which
// would make the outcome unknown.
func TestHeldBody(t *testing.T) {
	g := gomega.NewWithT(t)
	got := make(chan string, 1)
	client, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		buffer := make([]byte, 4096)
		n, _ := requests.Read(buffer)
		got <- string(buffer[:n])
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		n, _ = requests.Read(buffer)
		got <- string(buffer[:n])
	})
	out := get("mine")
	out.Method, out.ExpectContinue, out.AckTimeout = http.MethodPost, true, 50*time.Millisecond
	out.Body = &Body{Buffered: []byte("order"), Length: 5}
	_, failed := client.Do(context.Background(), address, out)
	g.Expect(failed).NotTo(gomega.BeNil())
	g.Expect(failed.MaybeDelivered).To(gomega.BeFalse())
	g.Expect(failed.Unresponsive).To(gomega.BeTrue())
	g.Expect(<-got).To(gomega.ContainSubstring("Expect: 100-continue"))
	g.Expect(<-got).To(gomega.BeEmpty())
}

// TestAnnouncedIdleTime guards against a request on a connection that the peer is
// about to close.
func TestAnnouncedIdleTime(t *testing.T) {
	g := gomega.NewWithT(t)
	client, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			answer(conn, request.Header.Get("X-Id"), "Keep-Alive: timeout=1\r\n")
		}
	})
	send := func() {
		e, failed := client.Do(context.Background(), address, get("mine"))
		g.Expect(failed).To(gomega.BeNil())
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

// TestOverdueSign guards against a request that is broken off while its server works,
// because the first sign of the peer is late and the node stops; and against a silent
// peer that is waited for otherwise.
func TestOverdueSign(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, keeps := range []bool{true, false} {
		client, address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
			answer(conn, "1", "")
		})
		out := get("1")
		out.AckTimeout = 30 * time.Millisecond
		out.KeepWaiting = func() bool { return keeps }
		e, failed := client.Do(t.Context(), address, out)
		if !keeps {
			g.Expect(failed).NotTo(gomega.BeNil())
			g.Expect(failed.Unresponsive).To(gomega.BeTrue())
			continue
		}
		g.Expect(failed).To(gomega.BeNil())
		g.Expect(e.Response.StatusCode).To(gomega.Equal(http.StatusOK))
		e.Finish(true)
	}
}
