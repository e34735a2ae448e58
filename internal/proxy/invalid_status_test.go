package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// TestInvalidStatusReachesNoCaller guards against a server in trouble whose response with a
// status such as 000 reaches the caller or keeps it waiting until its deadline, and against
// such a server that is not charged with a failure.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "abc"} {
		for _, signature := range []string{"", "X-Signature: signed\r\n"} {
			t.Run(status+" "+signature, func(t *testing.T) {
				t.Parallel()
				g := gomega.NewWithT(t)
				f := newTestFleet(t, 2, 4)
				f.nodes[0].backend.handle = func(w http.ResponseWriter, r *http.Request) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					// An error means that the proxy has closed the connection already.
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nX-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get(testHeaders.RequestID), signature)
					time.Sleep(time.Second)
				}
				orders := 0
				for i := range 8 {
					id := "get-" + strconv.Itoa(i)
					expectResponse(g, f.get(id), id, "")
					startedAt := time.Now()
					got := f.post("post-"+strconv.Itoa(i), "order")
					g.Expect(got.err).NotTo(gomega.HaveOccurred())
					g.Expect(time.Since(startedAt)).To(gomega.BeNumerically("<", time.Second))
					if got.status != http.StatusOK {
						orders++
						g.Expect(got.status).To(gomega.Equal(http.StatusBadGateway))
						g.Expect(got.header.Get(HeaderResult)).To(gomega.Equal(strconv.Itoa(int(result.OutcomeUnknown))))
						g.Expect(got.header.Get(testHeaders.Signature)).To(gomega.BeEmpty())
					}
				}
				if orders > 0 {
					g.Expect(f.nodes[0].proxy.inbound.failures.value(time.Now())).To(gomega.BeNumerically(">", 0))
				}
			})
		}
	}
}
