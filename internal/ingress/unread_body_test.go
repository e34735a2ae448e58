package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestCallerLeavesWhileBodyIsUnread guards against work for a caller that has left while
// the handler holds back from reading the body, for example while its request waits for
// a server.
func TestCallerLeavesWhileBodyIsUnread(t *testing.T) {
	for name, sent := range map[string]string{
		"part of a body":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 500),
		"nothing of it":   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
		"the whole body":  post("/a", "body"),
		"further request": post("/a", "body") + get("/b"),
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			started, cancelled := make(chan struct{}, 2), make(chan time.Time, 1)
			s := newTestServer(t, func(c *Config) {
				c.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					started <- struct{}{}
					select {
					case <-r.Context().Done():
						cancelled <- time.Now()
					case <-time.After(5 * time.Second):
					}
					panic(http.ErrAbortHandler)
				})
			})
			c := s.dial(t, g)
			c.send(sent)
			g.Eventually(started).Should(gomega.Receive())
			time.Sleep(50 * time.Millisecond)
			leftAt := time.Now()
			g.Expect(c.conn.Close()).To(gomega.Succeed())
			var at time.Time
			g.Eventually(cancelled).WithTimeout(2 * time.Second).Should(gomega.Receive(&at))
			g.Expect(at.Sub(leftAt)).To(gomega.BeNumerically("<", 100*time.Millisecond))
			g.Eventually(s.openConns).Should(gomega.BeZero())
			g.Expect(started).To(gomega.BeEmpty(), "a request was started after its caller had left")
		})
	}
}
