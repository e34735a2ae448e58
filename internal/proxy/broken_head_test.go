package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// brokenServer is a backend server that runs each request and sends the same response, with
// ID replaced by the ID of the request. It then waits for its peer to close the connection.
type brokenServer struct {
	address  string
	response string
	runCounter
}

// brokenServerWait bounds the time for which a broken server keeps a connection open.
const brokenServerWait = time.Second

func startBrokenServer(t *testing.T, response string) *brokenServer {
	s := &brokenServer{response: response}
	s.address = serveConns(t, s.serve)
	return s
}

func (s *brokenServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	id, err := s.run(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(s.response, "ID", id))
	_ = conn.SetReadDeadline(time.Now().Add(brokenServerWait))
	_, _ = reader.ReadByte()
}

// expectNoBrokenResponse sends requests to a node whose server has the given response, and
// then to one from which only such a server can be reached.
func expectNoBrokenResponse(t *testing.T, response string) {
	g := gomega.NewWithT(t)
	broken := startBrokenServer(t, response)
	f := startTestFleet(&testFleet{t: t, rawServers: map[string]string{"a": broken.address}}, 2, 4)
	for i := range 8 {
		id := "get-" + strconv.Itoa(i)
		expectResponse(g, f.get(id), id, "")
		id = "post-" + strconv.Itoa(i)
		startedAt := time.Now()
		got := f.post(id, "order")
		g.Expect(broken.runCount(id) + f.nodes[1].backend.runCount(id)).To(gomega.Equal(1))
		if broken.runCount(id) == 0 {
			expectResponse(g, got, id, "order")
		} else {
			expectSoonUnknown(g, got, startedAt)
		}
	}
	g.Expect(broken.runCount("get-0")+broken.runCount("post-0")).To(gomega.BeNumerically(">", 0), "no request met the response")
	g.Expect(f.nodes[0].proxy.inbound.failures.value(time.Now())).To(gomega.BeNumerically(">", 0))

	f = startTestFleet(&testFleet{t: t, rawServers: map[string]string{"b": broken.address}}, 2, 4)
	f.nodes[0].tracker.MarkAbsent("server-a")
	f.nodes[0].state = fleet.Absent
	f.publish(f.nodes[0])
	startedAt := time.Now()
	expectSoonUnknown(g, f.get("remote-get"), startedAt)
	startedAt = time.Now()
	expectSoonUnknown(g, f.post("remote-post", "order"), startedAt)
	g.Expect(broken.runCount("remote-post")).To(gomega.Equal(1))
	g.Expect(f.nodes[1].proxy.inbound.failures.value(time.Now())).To(gomega.BeNumerically(">", 0))
}

// expectSoonUnknown expects the refusal of a request of unknown outcome before the server
// has closed the connection.
func expectSoonUnknown(g *gomega.WithT, got reply, startedAt time.Time) {
	took := time.Since(startedAt)
	g.Expect(got.err).NotTo(gomega.HaveOccurred())
	g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway), "header %q, body %q", got.header, got.body)
	g.Expect(got.header.Get(HeaderResult)).To(gomega.Equal(strconv.Itoa(int(result.OutcomeUnknown))))
	g.Expect(got.header.Get(testHeaders.Signature)).To(gomega.BeEmpty())
	g.Expect(took).To(gomega.BeNumerically("<", brokenServerWait))
}

// TestBrokenHeadReachesNoCaller guards against a server in trouble whose response has a head
// with a name that holds a blank or a control byte: the line reaches the caller, or one
// that states where the body ends has no effect, so that the caller gets another body.
func TestBrokenHeadReachesNoCaller(t *testing.T) {
	for name, fields := range map[string]string{
		"blank in a name":                    "X Other: 1\r\nContent-Length: 2\r\n",
		"blank behind a name":                "X-Other : 1\r\nContent-Length: 2\r\n",
		"blank before a name":                "X-Other: 1\r\n X-More: 2\r\nContent-Length: 2\r\n",
		"tab before a name":                  "X-Other: 1\r\n\tX-More: 2\r\nContent-Length: 2\r\n",
		"control byte in a name":             "X-Ot\x01her: 1\r\nContent-Length: 2\r\n",
		"line feed before a name":            "Content-Length: 2\r\n\nX-Other: 1\r\n",
		"blank behind Content-Length":        "Content-Length : 2\r\n",
		"tab before Content-Length":          "X-Other: 1\r\n\tContent-Length: 2\r\n",
		"line feed before Content-Length":    "\nContent-Length: 2\r\n",
		"blank behind Transfer-Encoding":     "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"blank behind both":                  "Transfer-Encoding : chunked\r\nContent-Length : 2\r\n",
		"blank in the name of the signature": "X-Signature : other\r\nContent-Length: 2\r\n",
	} {
		for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error", "503 Service Unavailable"} {
			for _, signature := range []string{"", "X-Signature: signed\r\n"} {
				t.Run(name+", "+status+", "+signature, func(t *testing.T) {
					t.Parallel()
					expectNoBrokenResponse(t, "HTTP/1.1 "+status+"\r\nX-Id: ID\r\n"+signature+fields+"\r\nok")
				})
			}
		}
	}
}

// TestEncodingBeforeHTTP11ReachesNoCaller guards against a server in trouble whose response
// of HTTP/1.0 states an encoding: the caller gets the sizes of the chunks in the body.
func TestEncodingBeforeHTTP11ReachesNoCaller(t *testing.T) {
	for _, length := range []string{"", "Content-Length: 2\r\n"} {
		t.Run(length, func(t *testing.T) {
			t.Parallel()
			expectNoBrokenResponse(t, "HTTP/1.0 200 OK\r\nX-Id: ID\r\nX-Signature: signed\r\nTransfer-Encoding: chunked\r\n"+length+"\r\n2\r\nok\r\n0\r\n\r\n")
		})
	}
}
