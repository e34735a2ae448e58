package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestStatusOutsideTheProtocolIsNoResponse guards against a response whose status is none
// that is passed on, or taken for an interim one, so that the request waits until its
// deadline; and against a connection with such a response that is used again.
func TestStatusOutsideTheProtocolIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "1000", "20", "-12", "abc", ""} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			var conns atomic.Int64
			client, address := startServer(t, func(conn net.Conn, requests *bufio.Reader) {
				conns.Add(1)
				for {
					request, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok", status, request.Header.Get("X-Id"))
				}
			})
			expectNoResponse(g, client, address, &conns)
		})
	}
}

// expectNoResponse sends two requests, each of which soon ends with an unknown outcome and on
// a connection of its own.
func expectNoResponse(g *gomega.WithT, client *Client, address string, conns *atomic.Int64) {
	for i := range int64(2) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		startedAt := time.Now()
		_, exchangeErr := client.Do(ctx, address, newTestRequest("x"))
		cancel()
		g.Expect(exchangeErr).NotTo(gomega.BeNil())
		g.Expect(exchangeErr.MaybeDelivered).To(gomega.BeTrue(), "the peer may have run the request")
		g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second))
		g.Expect(conns.Load()).To(gomega.Equal(i+1), "the connection must not be used again")
	}
}

// TestInterimResponsesAreSkipped guards against an interim response of the protocol that
// ends an exchange.
func TestInterimResponsesAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	client, address := startServer(t, func(conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err == nil {
			fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\n")
			writeResponse(conn, "x", "")
		}
	})
	e, exchangeErr := client.Do(context.Background(), address, newTestRequest("x"))
	g.Expect(exchangeErr).To(gomega.BeNil())
	g.Expect(e.Response.StatusCode).To(gomega.Equal(http.StatusOK))
	e.Finish(false)
}
