package httpserver

import (
	"io"
	"testing"

	"github.com/onsi/gomega"
)

const twoRequests = "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestShutdownAwaitsPipelinedRequest guards against a refusal in place of the response to
// a request that arrived together with the one before it and is running.
func TestShutdownAwaitsPipelinedRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(g)
	conn := s.dial(t, g, twoRequests)
	<-s.started
	s.finish <- struct{}{}
	<-s.started
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	g.Eventually(s.isRefusingDials).Should(gomega.BeTrue())
	s.finish <- struct{}{}
	received, err := io.ReadAll(conn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(received)).To(gomega.MatchRegexp("(?s)complete.*complete.*" + testRefusal + "$"))
	g.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
}

// TestRefusedRequestDoesNotRun guards against a request that is refused and runs all the
// same, because it arrived together with the one before it.
func TestRefusedRequestDoesNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestServer(g)
	conn := s.dial(t, g, twoRequests)
	<-s.started
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	g.Eventually(s.isRefusingDials).Should(gomega.BeTrue())
	close(s.finish)
	received, err := io.ReadAll(conn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(received)).To(gomega.HaveSuffix("complete" + testRefusal))
	g.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
	g.Expect(s.started).NotTo(gomega.Receive())
}
