package node

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestStopEndsStartedAnnouncement guards against an announcement that the node has taken
// over and whose acknowledgement is cut off when the node stops.
func TestStopEndsStartedAnnouncement(t *testing.T) {
	g := gomega.NewWithT(t)
	started, finish := make(chan struct{}), make(chan struct{})
	server, err := newAnnounceServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "acknowledged")
	}))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	background, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- server.run(background) }()
	received := make(chan string, 1)
	go func() {
		request, err := http.NewRequest(http.MethodPut, "http://"+server.listener.Addr().String(), strings.NewReader("{}"))
		if err != nil {
			received <- err.Error()
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			received <- err.Error()
			return
		}
		defer response.Body.Close()
		content, _ := io.ReadAll(response.Body)
		received <- string(content)
	}()
	<-started
	stop()
	g.Consistently(received, 50*time.Millisecond).ShouldNot(gomega.Receive())
	close(finish)
	g.Eventually(received).Should(gomega.Receive(gomega.Equal("acknowledged")))
	g.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
}
