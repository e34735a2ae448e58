package app

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestLateRequestsCountsBySendTime guards against a soak that attributes a request
// delayed by a faulty link to the node (seed 105), and against one that detects no late
// request.
func TestLateRequestsCountsBySendTime(t *testing.T) {
	g := gomega.NewWithT(t)
	ackedAt := time.Now()
	var sentAt time.Time
	a := &App{options: Options{ID: "i", SentAt: func(string) time.Time { return sentAt }, OnRun: func(string) {}}}
	a.ackedAt.Store(&ackedAt)
	deliver := func() {
		a.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
	}
	sentAt = ackedAt.Add(-time.Millisecond)
	deliver()
	g.Expect(a.LateRequests()).To(gomega.BeZero(), "sent before the acknowledgement")
	sentAt = ackedAt.Add(time.Millisecond)
	deliver()
	g.Expect(a.LateRequests()).To(gomega.Equal(int64(1)))
	a.options.SentAt = nil
	deliver()
	g.Expect(a.LateRequests()).To(gomega.Equal(int64(2)), "without a proxy the time of arrival counts")
}
