package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// TestPipelinedRequestsAreTraceable guards against log lines from which it can't be seen
// that a request waited for another one of its connection, and for which one.
func TestPipelinedRequestsAreTraceable(t *testing.T) {
	g := gomega.NewWithT(t)
	logger, lines := test.NewNullLogger()
	f := startTestFleet(&testFleet{t: t, log: logrus.NewEntry(logger)}, 1, 4)
	f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testHeaders.RequestID) == "slow" {
			time.Sleep(300 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "x")
	}
	reader := f.pipeline(g, pipelinedRequest("GET", "/get/x", "slow", 1500), pipelinedRequest("POST", "/post/x", "order", 1500))
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	line := func(id string) logrus.Fields {
		for _, entry := range lines.AllEntries() {
			if entry.Message == "answered" && entry.Data["request"] == id {
				return entry.Data
			}
		}
		return nil
	}
	g.Eventually(func() logrus.Fields { return line("order") }).ShouldNot(gomega.BeNil())
	slow, order := line("slow"), line("order")
	g.Expect(slow["connection"]).To(gomega.And(gomega.Not(gomega.BeEmpty()), gomega.Equal(order["connection"])))
	g.Expect(slow).NotTo(gomega.HaveKey("waited_ms"))
	g.Expect(order["waited_ms"]).To(gomega.BeNumerically(">=", 250))
	g.Expect(order["ms"]).To(gomega.BeNumerically(">=", order["waited_ms"]))
}
