package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestNoResponseBehindAnIncompleteOne guards against the response to a cancelled request
// that is written behind an incomplete one. The caller takes it for the missing bytes, or
// for the response to the earlier request when none of that one was sent.
func TestNoResponseBehindAnIncompleteOne(t *testing.T) {
	const rounds = 40
	for name, flushed := range map[string]bool{"head sent": true, "nothing sent": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := newTestServer(t, func(c *Config) {
				c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/cut" {
						w.Header().Set("Content-Length", "100")
						_, _ = io.WriteString(w, "begun")
						if flushed {
							_ = http.NewResponseController(w).Flush()
						}
						time.Sleep(5 * time.Millisecond)
						panic(http.ErrAbortHandler)
					}
					// The response is ready only after the request was cancelled.
					<-r.Context().Done()
					time.Sleep(time.Millisecond)
					http.Error(w, strings.Repeat("x", 100), http.StatusBadGateway)
				})
			})
			mixed := 0
			for range rounds {
				c := s.dial(t, g)
				c.send(get("/cut") + get("/behind"))
				if response, err := http.ReadResponse(c.reader, nil); err == nil {
					if _, err = io.ReadAll(response.Body); err == nil {
						mixed++
					}
				}
				c.conn.Close()
			}
			g.Expect(mixed).To(gomega.BeZero(), "of %d responses that were broken off look complete", rounds)
		})
	}
}
