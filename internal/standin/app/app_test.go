package app

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestLateCountsWhatWasSentLate guards against a soak that blames the node for a
// request that a faulty link held back (seed 105), and against one that blames it for
// none.
func TestLateCountsWhatWasSentLate(t *testing.T) {
	g := gomega.NewWithT(t)
	acked := time.Now()
	var sent time.Time
	a := &App{options: Options{ID: "i", SentAt: func(string) time.Time { return sent }, OnRun: func(string) {}}}
	a.acked.Store(&acked)
	arrive := func() {
		a.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
	}
	sent = acked.Add(-time.Millisecond)
	arrive()
	g.Expect(a.LateRequests()).To(gomega.BeZero(), "handed over before the acknowledgement")
	sent = acked.Add(time.Millisecond)
	arrive()
	g.Expect(a.LateRequests()).To(gomega.Equal(int64(1)))
	a.options.SentAt = nil
	arrive()
	g.Expect(a.LateRequests()).To(gomega.Equal(int64(2)), "nothing holds it back")
}
