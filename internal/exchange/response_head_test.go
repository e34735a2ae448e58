package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// singleByteConn returns one byte from each read.
type singleByteConn struct{ net.Conn }

func (c singleByteConn) Read(b []byte) (int, error) { return c.Conn.Read(b[:min(len(b), 1)]) }

func dialSingleByte(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return singleByteConn{conn}, err
}

// startResponder starts a server that sends the same bytes in response to each request, and
// returns a client, which reads single bytes if asked to, and the number of connections.
func startResponder(t *testing.T, response string, singleBytes bool) (client *Client, address string, conns *atomic.Int64) {
	conns = new(atomic.Int64)
	client, address = startServer(t, func(conn net.Conn, requests *bufio.Reader) {
		conns.Add(1)
		for {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	})
	if singleBytes {
		client.options.Dial = dialSingleByte
	}
	return client, address, conns
}

// brokenHeads returns responses whose head has a line that is no header field.
func brokenHeads() map[string]string {
	const status = "HTTP/1.1 200 OK\r\nX-Id: x\r\n"
	heads := map[string]string{
		"folded line behind the status line": "HTTP/1.1 200 OK\r\n X-Other: 1\r\nX-Id: x\r\nContent-Length: 2\r\n\r\nok",
		"folded value":                       status + "X-Other: 1,\r\n 2\r\nContent-Length: 2\r\n\r\nok",
		"line of blanks":                     status + "Content-Length: 2\r\n \t\r\n\r\nok",
		"no name":                            status + ": 1\r\nContent-Length: 2\r\n\r\nok",
		"no colon":                           status + "X-Other\r\nContent-Length: 2\r\n\r\nok",
		"behind the read buffer":             status + "X-Padding: " + strings.Repeat("p", connReadBufferBytes) + "\r\nContent-Length : 2\r\n\r\nok",
		"in an interim response":             "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n" + status + "Content-Length: 2\r\n\r\nok",
		"behind an interim response":         "HTTP/1.1 103 Early Hints\r\nX-Other: 1\r\n\r\n" + status + "Content-Length : 2\r\n\r\nok",
		"in a response to another request":   "HTTP/1.1 200 OK\r\nX-Id: other\r\nX Other: 1\r\nContent-Length: 2\r\n\r\nok" + status + "Content-Length: 2\r\n\r\nok",
		"behind one to another request":      "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok" + status + "Content-Length : 2\r\n\r\nok",
		"end of the head by a line feed":     status + "Content-Length: 2\r\n\nok",
		"field that ends by a line feed":     status + "X-Other: 1\nContent-Length: 2\r\n\r\nok",
		"status line ends by a line feed":    "HTTP/1.1 200 OK\nX-Id: x\r\nContent-Length: 2\r\n\r\nok",
	}
	for _, field := range []string{"Content-Length", "X-Other"} {
		for b := range byte(0x80) {
			if b > ' ' && b != 0x7f {
				continue
			}
			for place, at := range map[string]int{"before": 0, "in": len(field) / 2, "behind": len(field)} {
				name := field[:at] + string(rune(b)) + field[at:]
				heads[fmt.Sprintf("%#02x %s %s", b, place, field)] = status + name + ": 2\r\nContent-Type: text/plain\r\n\r\nok"
			}
		}
	}
	return heads
}

// TestBrokenHeadIsNoResponse guards against a response in whose head a name holds a blank or
// a control byte, or a line can be read in more than one way: such a line would be passed on,
// and a Content-Length that is not recognized gives the response another body.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	for name, response := range brokenHeads() {
		for _, singleBytes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, single bytes %t", name, singleBytes), func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				client, address, conns := startResponder(t, response, singleBytes)
				expectNoResponse(g, client, address, conns)
			})
		}
	}
}

// TestTransferEncodingBeforeHTTP11IsNoResponse guards against a response whose encoding
// http.ReadResponse ignores, so that the sizes of its chunks count as part of the body.
func TestTransferEncodingBeforeHTTP11IsNoResponse(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/0.9"} {
		for _, fields := range []string{
			"Transfer-Encoding: chunked\r\n", "transfer-ENCODING:chunked\r\n", "Transfer-Encoding: gzip\r\nX-Other: 1\r\n",
			"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding:\r\n",
		} {
			t.Run(protocol+" "+fields, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				client, address, conns := startResponder(t, protocol+" 200 OK\r\nX-Id: x\r\n"+fields+"\r\n2\r\nok\r\n0\r\n\r\n", false)
				expectNoResponse(g, client, address, conns)
			})
		}
	}
}

// TestUnusualHeadIsAResponse guards against a head that is valid, or that ends all its lines
// by a line feed, and is taken for a broken one.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for name, fields := range map[string]string{
		"empty value":             "X-Other:\r\n",
		"blanks around the value": "X-Other: \t 1 \t \r\n",
		"blanks in the value":     "X-Other: a\tb c: d\r\n",
		"obsolete text":           "X-Other: \x80\xff\r\n",
		"all characters of names": "!#$%&'*+-.^_`|~09azAZ: 1\r\n",
		"name of one character":   "x: 1\r\n",
		"large head":              "X-Padding: " + strings.Repeat("p", connReadBufferBytes) + "\r\nX-Other: 1\r\n",
		"names like an encoding":  "Transfer-Encodin: 1\r\nTransfer-Encodings: 1\r\nX-Transfer-Encoding: 1\r\nX-Other: Transfer-Encoding: chunked\r\n",
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, lineEnd := range []string{"\r\n", "\n"} {
				for _, singleBytes := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, line end %q, single bytes %t", name, protocol, lineEnd, singleBytes), func(t *testing.T) {
						t.Parallel()
						g := gomega.NewWithT(t)
						head := protocol + " 200 OK\r\nX-Id: x\r\nConnection: keep-alive\r\n" + fields + "Content-Length: 8\r\n\r\n"
						client, address, conns := startResponder(t, strings.ReplaceAll(head, "\r\n", lineEnd)+"a b: c\n\r", singleBytes)
						for range 2 {
							e, exchangeErr := client.Do(context.Background(), address, newTestRequest("x"))
							g.Expect(exchangeErr).To(gomega.BeNil())
							body, err := io.ReadAll(e.Response.Body)
							g.Expect(err).NotTo(gomega.HaveOccurred())
							g.Expect(string(body)).To(gomega.Equal("a b: c\n\r"))
							e.Finish(true)
						}
						g.Expect(conns.Load()).To(gomega.BeNumerically("==", 1))
					})
				}
			}
		}
	}
}
