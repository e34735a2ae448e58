package proxy

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/boottime"
	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/ratelimit"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// TestRequestsBeyondTheRateLimitAreRefused guards against a request beyond the limit that
// runs, against a refusal without the time to come back after, and against a limit that
// touches other workspaces or public routes.
func TestRequestsBeyondTheRateLimitAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newKeyedFleet(t, 1, routing.Workspace{Name: "second", RatePerSecond: 100, Burst: 100})
	limiter := f.nodes[0].proxy.outbound.deps.Limiter
	limiter.Apply(ratelimit.Verdict{Known: true, Shares: []ratelimit.Share{{Workspace: "second", Fraction: 0}}}, boottime.Now())
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+secondKey, "Bearer "+firstKey)).To(gomega.Equal([]int{429, 200}))
	g.Expect(f.keyed(g, false, "/public/x", "Bearer "+secondKey)).To(gomega.Equal([]int{200}))
	g.Expect(f.log.String()).To(gomega.ContainSubstring("code=" + strconv.Itoa(int(result.RateLimited))))
	refused := f.send(t.Context(), "GET", "/get/x", "x", "")
	g.Expect(refused.status).To(gomega.Equal(401))
	limiter.Apply(ratelimit.Verdict{Known: true}, boottime.Now())
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+secondKey)).To(gomega.Equal([]int{200}))
}

// TestRefusedRequestsCountForNothing guards against a rate limit that is used up by
// requests which did not run.
func TestRefusedRequestsCountForNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newKeyedFleet(t, 1, routing.Workspace{Name: "second", RatePerSecond: 1000, Burst: 1000})
	n := f.nodes[0]
	limiter := n.proxy.outbound.deps.Limiter
	limiter.Apply(ratelimit.Verdict{Known: true}, boottime.Now())
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+secondKey)).To(gomega.Equal([]int{200}))
	n.state = fleet.Draining
	f.publish(n)
	g.Expect(f.keyed(g, false, "/get/x", "Bearer "+secondKey, "Bearer "+secondKey)).To(gomega.Equal([]int{503, 503}))
	g.Expect(limiter.Take(boottime.Now())).To(gomega.Equal([]ratelimit.Usage{{Workspace: "second", Asked: 3, Accepted: 1}}))
	time.Sleep(time.Millisecond)
	g.Expect(limiter.Take(boottime.Now())).To(gomega.BeEmpty())
}
