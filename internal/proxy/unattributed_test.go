package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// garblingServer is a backend server that sends bytes which belong to no request before
// some of its responses. It runs every request and responds with its ID.
type garblingServer struct {
	address string
	// extra is sent before every second response of a connection, before or after the
	// request is read.
	extra       string
	early       bool
	serviceTime time.Duration
	runCounter
}

func (s *garblingServer) start(t *testing.T) { s.address = serveConns(t, s.serve) }

func (s *garblingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		garbles := n%2 == 1
		if garbles && s.early {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			_, _ = io.WriteString(conn, s.extra)
		}
		id, err := s.run(reader)
		if err != nil {
			return
		}
		if garbles && !s.early {
			_, _ = io.WriteString(conn, s.extra)
		}
		time.Sleep(s.serviceTime)
		body := "response to " + id + ": "
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
			return
		}
	}
}

// TestBytesOfNoRequestDecideNothing guards against extra bytes of a server that are taken
// for the response to the next request of the connection: as a rejection, after which an
// order runs at a second server too or its caller is told that it has not run, or as a
// failure.
func TestBytesOfNoRequestDecideNothing(t *testing.T) {
	for name, extra := range map[string]string{
		"rejection":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"busy":        "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nContent-Length: 3\r\n\r\nno\n",
		"failure":     "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"not found":   "HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"success":     "HTTP/1.1 200 OK\r\nX-Signature: signed\r\nContent-Length: 2\r\n\r\nok",
		"two":         "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"no length":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\r\n",
		"junk":        "junk\r\n\r\n",
	} {
		for _, early := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the request is read %t", name, early), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				garbling := &garblingServer{extra: extra, early: early, serviceTime: 5 * time.Millisecond}
				garbling.start(t)
				// The second node has a sound server.
				f := startTestFleet(&testFleet{t: t, rawServers: map[string]string{"a": garbling.address}}, 2, 4)
				served := 0
				for i := range 40 {
					id := fmt.Sprintf("post-%d", i)
					got := f.post(id, "order")
					g.Expect(got.err).NotTo(gomega.HaveOccurred())
					runs := garbling.runCount(id) + f.nodes[1].backend.runCount(id)
					g.Expect(runs).To(gomega.BeNumerically("<=", 1), "%s ran twice", id)
					switch got.status {
					case http.StatusOK:
						served++
						g.Expect(got.body).To(gomega.HavePrefix("response to " + id))
					case http.StatusBadGateway, http.StatusGatewayTimeout:
					default:
						g.Expect(runs).To(gomega.BeZero(), "%s ran and got status %d", id, got.status)
					}
					id = fmt.Sprintf("get-%d", i)
					got = f.get(id)
					g.Expect(got.err).NotTo(gomega.HaveOccurred())
					g.Expect(got.status).To(gomega.BeElementOf(http.StatusOK, http.StatusBadGateway), "%s: %s", id, got.body)
					if got.status == http.StatusOK {
						g.Expect(got.body).To(gomega.HavePrefix("response to " + id))
					}
				}
				g.Expect(served).To(gomega.BeNumerically(">", 10))
			})
		}
	}
}
