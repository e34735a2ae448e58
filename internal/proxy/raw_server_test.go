package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// serveConns starts a server that handles each of its connections, and returns its address.
func serveConns(t *testing.T, handle func(net.Conn)) string {
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
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

// runCounter reads the requests of a server and counts its runs by request ID.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// run reads a request with its body and returns its ID.
func (c *runCounter) run(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get(testHeaders.RequestID)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[id]++
	return id, nil
}

func (c *runCounter) runCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}
