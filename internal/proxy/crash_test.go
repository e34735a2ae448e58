package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestCrashingContentIsStopped guards against a request that crashes one server after
// another because its caller retries it, and against refusing other requests.
func TestCrashingContentIsStopped(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 2, 4)
	for _, n := range f.nodes {
		n.backend.handle = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/post/poison" {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusOK)
		}
	}
	send := func(id, path string) reply { return f.send(t.Context(), http.MethodPost, path, id, "body") }
	runs := func(id string) int { return f.nodes[0].backend.runCount(id) + f.nodes[1].backend.runCount(id) }
	for i := range 3 {
		id := string(rune('a' + i))
		got := send(id, "/post/poison")
		g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway), got.body)
		g.Expect(runs(id)).To(gomega.Equal(1))
		for _, n := range f.nodes {
			// The servers of this test keep running, so the crashes are recorded here.
			n.crashes.AddCrash(f.now(), "server-"+n.name)
			f.publish(n)
		}
		// Both servers end in each round, which offsets crashes within a second.
		f.clockOffset.Add(int64(1200 * time.Millisecond))
	}
	response := send("d", "/post/poison")
	g.Expect(response.status).To(gomega.Equal(http.StatusServiceUnavailable), response.body)
	g.Expect(runs("d")).To(gomega.BeZero())
	g.Expect(send("e", "/post/other").status).To(gomega.Equal(http.StatusOK))
}
