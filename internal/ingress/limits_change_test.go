package ingress

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// TestChangedLimitsLeaveNoRequestWithoutAResponse guards against a request that gets no
// response because a limit for heads or bodies is changed while it is on its way, waits
// in the socket or behind another one of its connection, or runs.
func TestChangedLimitsLeaveNoRequestWithoutAResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	const callers, rounds = 40, 25
	s := newTestServer(t, func(c *Config) { c.MaxPipelined = 3 })
	s.limits.Store(idleLimits(time.Minute))
	stop := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.IntN(2000)) * time.Microsecond):
			}
			s.limits.Store(&routing.Limits{
				HeaderBytes: []int{40, 100, 16 << 10}[rand.IntN(3)], BodyBytes: []int64{1, 200, 1 << 20}[rand.IntN(3)],
				HeaderTimeout: []time.Duration{time.Millisecond, 5 * time.Second}[rand.IntN(2)], IdleTimeout: time.Minute,
			})
			s.LimitsChanged()
		}
	})
	var answered, refused, behindRefusal, lost atomic.Int64
	var senders sync.WaitGroup
	for range callers {
		senders.Go(func() {
			for range rounds {
				c := s.dial(t, g)
				var parts []string
				count := 1 + rand.IntN(6)
				for range count {
					switch rand.IntN(4) {
					case 0:
						parts = append(parts, post("/p?wait=1", strings.Repeat("x", 150)))
					case 1:
						parts = append(parts, "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n96\r\n"+strings.Repeat("x", 150)+"\r\n0\r\n\r\n")
					default:
						parts = append(parts, "GET /g?wait=2 HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("f", 20)+"\r\n\r\n")
					}
				}
				text := strings.Join(parts, "")
				cut := rand.IntN(len(text))
				c.send(text[:cut])
				time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
				// The server may have closed the connection behind a refusal.
				_, _ = io.WriteString(c.conn, text[cut:])
				for i := range count {
					response, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						lost.Add(int64(count - i))
						break
					}
					_, err = io.Copy(io.Discard, response.Body)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					if response.StatusCode == http.StatusOK {
						answered.Add(1)
					} else {
						refused.Add(1)
					}
					if response.Close {
						behindRefusal.Add(int64(count - i - 1))
						break
					}
				}
				c.conn.Close()
			}
		})
	}
	senders.Wait()
	close(stop)
	changes.Wait()
	t.Logf("%d answered, %d refused, %d behind a response that announced the end", answered.Load(), refused.Load(), behindRefusal.Load())
	g.Expect(lost.Load()).To(gomega.BeZero(), "requests without a response")
	g.Expect(refused.Load()).NotTo(gomega.BeZero())
}
