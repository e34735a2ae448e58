package platformscenario

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestServiceChangesWithoutASignal guards against requests that name the previous service
// of their host as caller, after the settings file has given the host to another one: with
// no signal, or with one that comes before the file is written.
func TestServiceChangesWithoutASignal(t *testing.T) {
	for name, signals := range map[string]bool{"no signal": false, "a signal before": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			d := startReady(t, 2)
			g.Expect(callerOf(g, d, "before")).To(gomega.Equal(Service))
			d.StopApp(0)
			if signals {
				g.Expect(d.Signal(0, syscall.SIGHUP)).To(gomega.Succeed())
			}
			g.Expect(d.GiveToService(0, "drawings")).To(gomega.Succeed())
			n := 0
			g.Eventually(func() string { n++; return callerOf(g, d, fmt.Sprintf("after-%d", n)) }).WithTimeout(5 * time.Second).Should(gomega.Equal("drawings"))
		})
	}
}

// callerOf sends a request from the first host and returns its caller as the server saw it.
func callerOf(g *gomega.WithT, d *Deployment, id string) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.OutboundAddress(0)+"/get/x", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fields := strings.Fields(string(body))
	if response.StatusCode != http.StatusOK || len(fields) < 2 {
		return response.Status
	}
	return fields[1]
}
