package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// TestSlowServersGetFewerRequests guards against slow servers that receive as
// many requests as fast ones, and against a fast one that receives all of them,
// when each outbound proxy has too few reports of the many servers to know their
// load.
func TestSlowServersGetFewerRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := New(testConfig())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var servers []fleet.Entry
	holds := make(map[string]time.Duration)
	for i := range 8 {
		e := entry(fmt.Sprint(i), "a1")
		servers = append(servers, e)
		holds[e.Node] = 60 * time.Millisecond
		if i%2 == 0 {
			holds[e.Node] = 180 * time.Millisecond
		}
		observeRequests(b, e, holds[e.Node], 5000)
	}
	random := rand.New(rand.NewPCG(1, 2))
	now := start.Add(time.Minute)
	got := make(map[time.Duration]int)
	group := candidates(servers...)
	const requests = 4000
	for range requests {
		request := testRequest()
		request.Random = random.Float64
		choice, ok := b.Choose(now, group, request)
		g.Expect(ok).To(gomega.BeTrue())
		b.Done(now, choice.Entry.Node, "r", nil, time.Millisecond)
		got[holds[choice.Entry.Node]]++
	}
	fast := float64(got[60*time.Millisecond]) / requests
	g.Expect(fast).To(gomega.BeNumerically(">", 0.7), "three times the capacity")
	g.Expect(fast).To(gomega.BeNumerically("<", 0.97))
}

// TestOldReportFallsBackToAverageLoad guards against a loaded server that is
// considered idle because its last report is old.
func TestOldReportFallsBackToAverageLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	loaded, free := newPeer("loaded"), newPeer("free")
	for range 20 {
		loaded.observe(start, Report{Running: 4, Waiting: 4, Slots: 4, HoldTime: 100 * time.Millisecond}, 0, 0)
		free.observe(start, Report{Running: 1, Slots: 4, HoldTime: 100 * time.Millisecond}, 0, 0)
	}
	// The last report happens to show the server without a queue.
	loaded.observe(start, Report{Running: 2, Slots: 4, HoldTime: 100 * time.Millisecond}, 0, 0)
	later := start.Add(5 * time.Second)
	g.Expect(loaded.predictedWait(start, 4)).To(gomega.BeZero(), "a new report counts as it is")
	g.Expect(loaded.predictedWait(later, 4)).To(gomega.BeNumerically(">", 100*time.Millisecond))
	g.Expect(free.predictedWait(later, 4)).To(gomega.BeNumerically("<", 10*time.Millisecond))
}
