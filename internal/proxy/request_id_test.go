package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// TestTwoRequestIDsAreRefused guards against a request that the server knows by another
// ID than the proxy: it runs, and its response is taken for one to an earlier request.
func TestTwoRequestIDsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1, 4)
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		ids := r.Header[testHeaders.RequestID]
		w.Header().Set(testHeaders.RequestID, ids[len(ids)-1])
		_, _ = io.WriteString(w, "run")
	}
	got := f.sendRaw(g, fmt.Sprintf("POST /post/a HTTP/1.1\r\nHost: %s\r\nX-Id: first\r\nX-Deadline: 300\r\nX-Id: last\r\nContent-Length: 0\r\n\r\n", testHost))
	g.Expect(got.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(got.Header.Get(HeaderResult)).To(gomega.Equal("60"))
	g.Expect(f.nodes[0].backend.runCount("first")).To(gomega.BeZero())
}
