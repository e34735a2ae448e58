package ingress

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestEndsLoseNoReadRequest guards against a request that the server reads and does not
// answer, in any mix of changed idle limits, pauses of callers, bodies and the end of
// the server.
func TestEndsLoseNoReadRequest(t *testing.T) {
	var answered, unanswered int64
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(t)
		milliseconds := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit*10).Draw(rt, name)) * time.Millisecond / 10
		}
		notice := time.Nanosecond + milliseconds("notice", 5)
		s := newTestServer(t, func(c *Config) { c.IdleLimitNotice = notice })
		s.limits.Store(idleLimits(10 * time.Millisecond))
		type step struct {
			pause time.Duration
			text  string
		}
		var callers sync.WaitGroup
		var responses, failures atomic.Int64
		for range rapid.IntRange(1, 8).Draw(rt, "callers") {
			steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
				pause := time.Duration(rapid.IntRange(0, 120).Draw(rt, "pause")) * time.Millisecond / 10
				return step{pause, rapid.SampledFrom([]string{
					get("/a"), get("/b?wait=3"), post("/c", "body"), "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
				}).Draw(rt, "request")}
			}), 1, 4).Draw(rt, "steps")
			c := s.dial(t, g)
			callers.Go(func() {
				defer c.conn.Close()
				for _, step := range steps {
					time.Sleep(step.pause)
					if _, err := io.WriteString(c.conn, step.text); err != nil {
						return
					}
					response, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						failures.Add(1)
						return
					}
					responses.Add(1)
					if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
						return
					}
				}
			})
		}
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			time.Sleep(milliseconds("until the change", 10))
			s.limits.Store(idleLimits(time.Millisecond + milliseconds("limit", 12)))
			s.LimitsChanged()
		}
		time.Sleep(milliseconds("until the end", 10))
		s.Drain()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		s.Shutdown(ctx)
		cancel()
		callers.Wait()
		if read := s.counter("requests"); read != responses.Load() {
			rt.Fatalf("%d requests were read and %d answered", read, responses.Load())
		}
		if discarded := s.counter("discarded_bytes"); discarded > 0 {
			rt.Fatalf("%d bytes of requests were read and discarded", discarded)
		}
		answered, unanswered = answered+responses.Load(), unanswered+failures.Load()
	})
	gomega.NewWithT(t).Expect(unanswered).NotTo(gomega.BeZero(), "no request crossed the end of its connection")
	t.Logf("%d requests were answered, %d were sent and stayed unread", answered, unanswered)
}
