package call

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestServerAppliesLimits guards against a call port that ignores its time limits or the
// limit of its heads: callers that send nothing would hold their connections.
func TestServerAppliesLimits(t *testing.T) {
	const shortest, longest = 100 * time.Millisecond, time.Minute
	for _, test := range []struct {
		name, sent, received string
		head, idle           time.Duration
	}{
		{"slow head", "GET / HTTP/1.1\r\n", "", shortest, longest},
		{"idle", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 OK", longest, shortest},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\nX-Big: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", "HTTP/1.1 431", longest, longest},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			config := DefaultConfig()
			config.HeaderBytes, config.IdleTimeout = 1<<10, shortest/2
			config.ReadHeaderTimeout, config.ServerIdleTimeout = test.head, test.idle
			server, err := NewServer(config, "127.0.0.1", 0, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			address, err := server.Start()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = server.http.Close() })
			conn, err := net.Dial("tcp", address.String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			g.Expect(conn.SetDeadline(time.Now().Add(longest / 2))).To(gomega.Succeed())
			_, err = io.WriteString(conn, test.sent)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			received, err := io.ReadAll(conn)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(received)).To(gomega.HavePrefix(test.received))
		})
	}
}

// TestServerReportsListenFailure guards against a daemon that runs without its call port.
func TestServerReportsListenFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer taken.Close()
	server, err := NewServer(DefaultConfig(), "127.0.0.1", taken.Addr().(*net.TCPAddr).Port, http.NotFoundHandler())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = server.Start()
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("listen on the call port")))
}
