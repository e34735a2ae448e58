package platformscenario

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// lostTime is how long after its last byte a request may still be cut without a
// response, when the node has not passed it on.
const lostTime = 200 * time.Millisecond

// TestStopAnswersAcceptedRequests guards against requests that are cut off by a planned
// stop right after they were accepted. Callers keep using open connections, open new
// ones and pipeline until the process is gone.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	d := startReady(t, 3)
	callers := &stopCallers{deployment: d, address: d.OutboundAddress(1)}
	var group sync.WaitGroup
	for i := range 9 {
		group.Go(func() { callers.run(1+i%3, i%2 == 0) })
	}
	time.Sleep(300 * time.Millisecond)
	g.Expect(d.Signal(1, syscall.SIGTERM)).To(gomega.Succeed())
	g.Expect(d.WaitExit(1, exitTimeout)).To(gomega.Succeed())
	callers.stopped.Store(true)
	group.Wait()
	t.Logf("%d answered, %d not", callers.answered, len(callers.unanswered))
	g.Expect(callers.answered).To(gomega.BeNumerically(">", 100))
	for _, request := range callers.unanswered {
		g.Expect(d.Runs(request.id)).To(gomega.BeZero(), "%s ran and has no response", request.id)
		g.Expect(request.cutAfter).To(gomega.BeNumerically("<", lostTime), "%s was cut late", request.id)
	}
	if t.Failed() {
		log, err := os.ReadFile(d.LogFile(1))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Logf("%s", log[max(0, len(log)-logTailBytes):])
	}
}

// unanswered is a request without a complete response.
type unanswered struct {
	id       string
	cutAfter time.Duration
}

// stopCallers send requests to one node until it is gone.
type stopCallers struct {
	deployment *Deployment
	address    string
	count      atomic.Int64
	stopped    atomic.Bool

	mu         sync.Mutex
	answered   int
	unanswered []unanswered
}

// run sends pipelines of a length, each on a new connection or on one that is kept.
func (c *stopCallers) run(length int, keep bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for !c.stopped.Load() {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", c.address, time.Second); err != nil {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		if open := c.sendPipeline(conn, reader, length); !open || !keep {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// sendPipeline sends requests and reads their responses. It reports whether the
// connection can be used again.
func (c *stopCallers) sendPipeline(conn net.Conn, reader *bufio.Reader, length int) (open bool) {
	var ids []string
	var text strings.Builder
	for range length {
		id := fmt.Sprintf("stop-%d", c.count.Add(1))
		path := "GET /get/x"
		if length == 1 {
			path = "POST /post/x"
		}
		fmt.Fprintf(&text, "%s HTTP/1.1\r\nHost: orders.example\r\nX-Rosemaryladder-Request-Id: %s\r\nX-Rosemaryladder-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n", path, id)
		ids = append(ids, id)
	}
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := conn.Write([]byte(text.String()))
	sentAt := time.Now()
	for i, id := range ids {
		var response *http.Response
		if err == nil {
			response, err = receive(reader)
		}
		if err != nil {
			c.recordUnanswered(ids[i:], time.Since(sentAt))
			return false
		}
		if response.Header.Get("X-Rosemaryladder-Request-Id") != id {
			c.recordUnanswered(ids[i:], time.Hour)
			return false
		}
		c.mu.Lock()
		c.answered++
		c.mu.Unlock()
		if response.Close {
			// What was sent behind the last response counts as not read.
			c.recordUnanswered(ids[i+1:], 0)
			return false
		}
	}
	return true
}

// receive reads a complete response.
func receive(reader *bufio.Reader) (*http.Response, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

func (c *stopCallers) recordUnanswered(ids []string, cutAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.unanswered = append(c.unanswered, unanswered{id, cutAfter})
	}
}
