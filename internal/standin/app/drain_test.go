package app

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// drains is the number of drains of a test, all at once, so that handlers start late.
const drains = 50

// TestRequestBeforeTheAcknowledgementIsNotLate guards against a request that counts as
// late because its handler starts late, although the node sent it before it acknowledged
// the drain.
func TestRequestBeforeTheAcknowledgementIsNotLate(t *testing.T) { playDrains(t, false, 0) }

// TestRequestAfterTheAcknowledgementIsLate guards against a late request that is not
// counted, for example because its handler starts before the acknowledgement is read.
func TestRequestAfterTheAcknowledgementIsLate(t *testing.T) { playDrains(t, true, 1) }

func playDrains(t *testing.T, sendLate bool, want int64) {
	for i := range drains {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			playDrain(t, sendLate, want)
		})
	}
}

// drainTimeout bounds a drain on a busy machine.
const drainTimeout = 10 * time.Second

// playDrain drains a server, whose node sends it one request immediately before or after
// the acknowledgement, and expects a number of late requests.
func playDrain(t *testing.T, sendLate bool, want int64) {
	g := gomega.NewWithT(t)
	node := &drainingNode{t: t, sendLate: sendLate}
	server := httptest.NewServer(node)
	defer server.Close()
	var err error
	node.app, err = Start(Options{ID: "i", Address: "127.0.0.1:0", CheckInAddress: server.Listener.Addr().String(), OnRun: func(string) {}})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer node.app.Stop()
	node.conn, err = net.Dial("tcp", node.app.Address())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer node.conn.Close()
	node.app.Drain()
	_, err = http.ReadResponse(bufio.NewReader(node.conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(node.app.Acknowledged).WithTimeout(drainTimeout).Should(gomega.BeTrue())
	if sendLate {
		g.Eventually(node.app.LateRequests).WithTimeout(drainTimeout).Should(gomega.BeNumerically(">", 0))
	}
	g.Expect(node.app.LateRequests()).To(gomega.Equal(want))
}

// drainingNode is a node with one backend server.
type drainingNode struct {
	t   *testing.T
	app *App
	// conn is a connection to the server.
	conn net.Conn
	// sendLate is set to send a request after the drain was acknowledged.
	sendLate bool
}

// ServeHTTP acknowledges a check-in. It sends a request around the acknowledgement of a
// drain, and again if the server has given up waiting for that.
func (n *drainingNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var checkIn struct {
		Status struct{ State string }
	}
	if err := json.NewDecoder(r.Body).Decode(&checkIn); err != nil {
		n.t.Error(err)
	}
	if checkIn.Status.State != "draining" || n.app.Acknowledged() {
		return
	}
	if n.sendLate {
		n.acknowledge(w)
	}
	if _, err := io.WriteString(n.conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		n.t.Error(err)
	}
	if !n.sendLate {
		n.acknowledge(w)
	}
}

// acknowledge sends a complete response.
func (n *drainingNode) acknowledge(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "2")
	_, _ = fmt.Fprint(w, "{}")
	if err := http.NewResponseController(w).Flush(); err != nil {
		n.t.Error(err)
	}
}
