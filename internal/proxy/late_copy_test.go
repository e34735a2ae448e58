package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// copyingServer is a backend server that sends a second copy of each response on the
// connection, at a given moment.
type copyingServer struct {
	address string
	// response is the response to a request with the given ID. A refusal does not run.
	response func(id string) string
	// delay is the time from a response to its copy. splitAt is the part of the copy
	// that is sent first; the rest follows with the next response.
	delay   time.Duration
	splitAt int

	mu   sync.Mutex
	runs map[string]int
}

func startCopyingServer(t *testing.T, s *copyingServer) {
	s.runs = make(map[string]int)
	s.address = serveConns(t, s.serve)
}

func (s *copyingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	rest := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(testHeaders.RequestID)
		response := s.response(id)
		if strings.HasPrefix(response, "HTTP/1.1 200") {
			s.mu.Lock()
			s.runs[id]++
			s.mu.Unlock()
		}
		if _, err := io.WriteString(conn, rest+response); err != nil {
			return
		}
		time.Sleep(s.delay)
		split := min(s.splitAt, len(response))
		if _, err := io.WriteString(conn, response[:split]); err != nil {
			return
		}
		rest = response[split:]
	}
}

// TestLateCopyOfAResponse guards against a caller that gets the second copy of another
// caller's response, when the copy arrives before, with or within the next exchange of
// the connection, and against a refusal as not run that is such a copy.
func TestLateCopyOfAResponse(t *testing.T) {
	success := func(id string) string {
		body := "response to " + id + ": "
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: signed\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	// Every second response is another one, without an ID.
	alternating := func(other string) func(string) string {
		count := 0
		return func(id string) string {
			if count++; count%2 == 0 {
				return other
			}
			return success(id)
		}
	}
	// Every second request is refused with its ID.
	refusing := func() func(string) string {
		count := 0
		return func(id string) string {
			if count++; count%2 == 0 {
				return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			}
			return success(id)
		}
	}
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	const failure = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	for name, server := range map[string]*copyingServer{
		"at once":             {response: success, splitAt: 1 << 20},
		"while idle":          {response: success, splitAt: 1 << 20, delay: 5 * time.Millisecond},
		"behind next request": {response: success, splitAt: 0},
		"split in the head":   {response: success, splitAt: 20},
		"split in the body":   {response: success, splitAt: len(success("id-00")) - 3},
		"refusal without ID":  {response: alternating(refusal), splitAt: 0},
		"failure without ID":  {response: alternating(failure), splitAt: 0},
		"failure and copy":    {response: alternating(failure), splitAt: 1 << 20, delay: time.Millisecond},
		"copy of a refusal":   {response: refusing(), splitAt: 0},
		"refusal, then copy":  {response: refusing(), splitAt: 1 << 20, delay: time.Millisecond},
		"refusal and copy":    {response: alternating(refusal), splitAt: 1 << 20, delay: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			startCopyingServer(t, server)
			f := startTestFleet(&testFleet{t: t, rawServer: server.address}, 1, 1)
			served := 0
			for i := range 40 {
				id := fmt.Sprintf("id-%02d", i)
				method, path := http.MethodGet, "/get/x"
				if i%2 == 0 {
					method, path = http.MethodPost, "/post/x"
				}
				got := f.send(t.Context(), method, path, id, "")
				g.Expect(got.err).NotTo(gomega.HaveOccurred())
				server.mu.Lock()
				runs := server.runs[id]
				server.mu.Unlock()
				switch got.status {
				case http.StatusOK:
					served++
					g.Expect(got.body).To(gomega.HavePrefix("response to "+id+": "), "the response of another request")
				case http.StatusInternalServerError:
					g.Expect(runs).To(gomega.BeZero(), "the failure of another request")
				case http.StatusServiceUnavailable:
					g.Expect(runs).To(gomega.BeZero(), "refused as not run: "+got.body)
				}
				if method == http.MethodPost {
					g.Expect(runs).To(gomega.BeNumerically("<=", 1))
				}
			}
			t.Logf("%d of 40 served", served)
			g.Expect(served).To(gomega.BeNumerically(">", 10))
		})
	}
}
