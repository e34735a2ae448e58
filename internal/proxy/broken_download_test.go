package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestBrokenDownloadsCancelFewRequests guards against requests that sound servers run and
// that get no response, because they were passed on behind a large response on their
// connection that its server breaks off.
func TestBrokenDownloadsCancelFewRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		downloads, behind = 6, 5
		// maxLost is the number of such requests that the operators allow in a day.
		maxLost = 3
	)
	f := newTestFleet(t, 2, 16)
	var breaks atomic.Bool
	for _, n := range f.nodes {
		n.backend.handle = func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/get/large") {
				_, _ = io.WriteString(w, "x")
				return
			}
			const size = 4 << 20
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size/2))
			if breaks.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(make([]byte, size/2))
		}
	}
	// The first response tells that those of the route are large.
	g.Expect(f.send(t.Context(), http.MethodGet, "/get/large", "complete", "").status).To(gomega.Equal(http.StatusOK))
	breaks.Store(true)
	ran := 0
	for i := range downloads {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.nodes[0].outboundURL, "http://"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(conn.SetDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
		request := func(path, id string) string {
			return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", path, testHost, testHeaders.RequestID, id)
		}
		text := request("/get/large", fmt.Sprint("large-", i))
		for j := range behind {
			text += request("/get/x", fmt.Sprintf("small-%d-%d", i, j))
		}
		_, err = io.WriteString(conn, text)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).To(gomega.HaveOccurred(), "a truncated response looks complete")
		conn.Close()
		for j := range behind {
			for _, n := range f.nodes {
				ran += n.backend.runCount(fmt.Sprintf("small-%d-%d", i, j))
			}
		}
	}
	g.Expect(ran).To(gomega.BeNumerically("<=", maxLost), "requests that ran without a response")
}
