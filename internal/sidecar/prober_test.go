package sidecar

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
)

// TestEndlessHealthResponseIsBounded guards against a backend server that sends a
// health response without end, in its head or its body, and so fills the memory of the
// node or delays its probes.
func TestEndlessHealthResponseIsBounded(t *testing.T) {
	for name, first := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n", "interim": ""} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				repeated := make([]byte, 4<<10)
				for i := range repeated {
					repeated[i] = 'x'
				}
				if name == "interim" {
					repeated = []byte("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")
				}
				_, err = io.WriteString(conn, first)
				for err == nil {
					_, err = conn.Write(repeated)
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			response, err := newProbeClient(dial.Dialer{}).Get("http://" + listener.Addr().String())
			if err == nil {
				response.Body.Close()
			}
			g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", 2*probeTimeout))
			runtime.ReadMemStats(&after)
			g.Expect(after.TotalAlloc-before.TotalAlloc).To(gomega.BeNumerically("<", 4<<20), "bytes allocated by the probe")
		})
	}
}

// TestSlotsAreTheThirdFigure guards against a figure behind the slot count, which tells how
// long work takes now, that is taken for the slots: the server would get several times the
// requests that it can run.
func TestSlotsAreTheThirdFigure(t *testing.T) {
	g := gomega.NewWithT(t)
	for load, want := range map[string]int{"3,0,8": 8, "3, 0, 18, 100": 18, "0,0,18,250,7": 18, "3,0": 0, "": 0, "3,0,x": 0, "3,0,-1,100": 0, "3,0,,100": 0} {
		slots, ok := parseSlots(load)
		g.Expect(ok).To(gomega.Equal(want > 0), load)
		if ok {
			g.Expect(slots).To(gomega.Equal(want), load)
		}
	}
}

// TestHealthResponseIsNotFollowed guards against a health check that a server redirects
// to another address.
func TestHealthResponseIsNotFollowed(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.RedirectHandler("/other", http.StatusFound))
	t.Cleanup(server.Close)
	response, err := newProbeClient(dial.Dialer{}).Get(server.URL)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response.Body.Close()
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusFound))
}
