package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// TestLimitedServerGetsWhatItTakes guards against a server that is chosen as often as
// others although it has reported a limit far below its capacity, and against one that is
// never chosen again after its limit has ended unseen.
func TestLimitedServerGetsWhatItTakes(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := New(testConfig())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var servers []fleet.Entry
	const hold = 100 * time.Millisecond
	for _, name := range []string{"limited", "a", "b", "c", "d", "e"} {
		e := entry(name, "a1")
		servers = append(servers, e)
		observeRequests(b, e, hold, 100)
	}
	group := candidates(servers...)
	random := rand.New(rand.NewPCG(1, 2))
	share := func(now time.Time) float64 {
		chosen := 0
		const requests = 3000
		for range requests {
			request := testRequest()
			request.Random = random.Float64
			choice, ok := b.Choose(now, group, request)
			g.Expect(ok).To(gomega.BeTrue())
			b.Done(now, choice.Entry.Node, "r", nil, time.Millisecond)
			if choice.Entry.Node == "limited" {
				chosen++
			}
		}
		return float64(chosen) / requests
	}
	now := start.Add(time.Minute)
	request := testRequest()
	request.Excluded = []string{"a", "b", "c", "d", "e"}
	_, ok := b.Choose(now, group, request)
	g.Expect(ok).To(gomega.BeTrue())
	b.Done(now, "limited", "r", &Report{Running: 1, Slots: 4, HoldTime: hold, Limit: 2, TotalTime: hold, ServiceTime: hold}, hold)
	g.Expect(share(now)).To(gomega.BeNumerically("<", 0.04), "2 of 202 requests a second")
	g.Expect(share(now.Add(limitMaxAge))).To(gomega.BeNumerically(">", 0.1), "the limit may have ended")
}
