package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
)

// parsingServer is a backend server with a parser of its own, which records what it
// runs.
type parsingServer struct {
	service string
	address string

	mu   sync.Mutex
	runs []parsedRequest
	// faults are the requests that the proxy must not have sent.
	faults []string
}

func newParsingServer(t testing.TB, service string) *parsingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &parsingServer{service: service, address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *parsingServer) serve(conn net.Conn) {
	defer conn.Close()
	parser := requestParser{reader: bufio.NewReader(conn), askForBody: func() {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}}
	for {
		request, err := parser.next()
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return
		}
		s.record(request, err)
		if err != nil {
			return
		}
		body := s.service + ": " + request.String()
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\nContent-Length: %d\r\n\r\n", testHeaders.RequestID, request.id, testHeaders.Signature, len(body))
		if request.method == "HEAD" {
			body = ""
		}
		if _, err := io.WriteString(conn, head+body); err != nil {
			return
		}
	}
}

func (s *parsingServer) record(request parsedRequest, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.faults = append(s.faults, err.Error())
		return
	}
	s.runs = append(s.runs, request)
}

// take returns and forgets what the server has recorded.
func (s *parsingServer) take() (runs []parsedRequest, faults []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs, faults, s.runs, s.faults = s.runs, s.faults, nil, nil
	return runs, faults
}
