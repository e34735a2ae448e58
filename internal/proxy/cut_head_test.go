package proxy

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
)

// TestHeadCutAnywhereIsNoSuccess guards against a server that stops within the head of its
// response and closes, whose caller gets a success with an empty or a short body.
func TestHeadCutAnywhereIsNoSuccess(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	headOf := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: signed\r\nContent-Length: 100\r\n\r\n"
	}
	var cut atomic.Int64
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		// An error means that the proxy has closed the connection already.
		_, _ = conn.Write([]byte(headOf(r.Header.Get(testHeaders.RequestID))[:cut.Load()]))
	}
	for i := range len(headOf("cut-000")) + 1 {
		cut.Store(int64(i))
		got := f.post(fmt.Sprintf("cut-%03d", i), "body")
		g.Expect(got.err).NotTo(gomega.HaveOccurred())
		g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway), "cut after %d bytes: %s", i, got.body)
	}
}
