package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

var start = time.Unix(1000, 0)

func testConfig() Config {
	config := DefaultConfig()
	config.Domain = "a1"
	config.Regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	return config
}

func entry(node, domain string) fleet.Entry {
	return fleet.Entry{Node: node, Domain: domain, Server: "s-" + node, State: fleet.Ready, Slots: 4}
}

// candidates returns the entries as the candidates of a service.
func candidates(entries ...fleet.Entry) fleet.Candidates {
	table := fleet.NewTable(time.Second)
	for _, e := range entries {
		e.Service = "s"
		table.Merge(e)
	}
	return table.View().Candidates("s")
}

func testRequest() Request {
	return Request{Route: "r", Remaining: 400 * time.Millisecond, Objective: 400 * time.Millisecond, Random: func() float64 { return 0 }}
}

// observeRequests records enough requests for the averages of the route and the
// node to settle.
func observeRequests(b *Balancer, e fleet.Entry, serviceTime time.Duration, bytes int64) {
	group := candidates(e)
	for range 30 {
		request := testRequest()
		if _, ok := b.Choose(start, group, request); !ok {
			panic("no choice")
		}
		b.Done(start, e.Node, "r", &Report{Slots: 4, HoldTime: serviceTime, TotalTime: serviceTime, ServiceTime: serviceTime}, serviceTime+time.Millisecond)
		b.ObserveSize("r", bytes)
	}
}

// TestChoosePrefersSameDomain guards against traffic on the paid link between
// domains while servers in the local failure domain can meet the objective.
func TestChoosePrefersSameDomain(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := New(testConfig())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	near, region, far := entry("near", "a1"), entry("region", "a2"), entry("far", "b1")
	all := []fleet.Entry{far, region, near}
	for _, e := range all {
		observeRequests(b, e, 100*time.Millisecond, 5000)
	}
	choice, ok := b.Choose(start, candidates(all...), testRequest())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(choice.Entry.Node).To(gomega.Equal("near"))
}

// TestChooseAvoidsBusyServers guards against requests that queue at a busy server
// while another one can meet the objective.
func TestChooseAvoidsBusyServers(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := New(testConfig())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	near, region := entry("near", "a1"), entry("region", "a2")
	observeRequests(b, near, 100*time.Millisecond, 5000)
	observeRequests(b, region, 100*time.Millisecond, 5000)
	for range 25 {
		b.Choose(start, candidates(near), testRequest())
	}
	choice, _ := b.Choose(start, candidates(near, region), testRequest())
	g.Expect(choice.Entry.Node).To(gomega.Equal("region"))
}

// TestChooseAvoidsSlowLinks guards against large responses from a host whose link
// is too slow for them while another host can meet the objective.
func TestChooseAvoidsSlowLinks(t *testing.T) {
	g := gomega.NewWithT(t)
	config := testConfig()
	config.CrossDomainPerMB = 1
	b, err := New(config)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	near, region := entry("near", "a1"), entry("region", "a2")
	observeRequests(b, near, 50*time.Millisecond, 90_000)
	observeRequests(b, region, 50*time.Millisecond, 90_000)
	b.ObserveTransfer(start, "near", 90_000, 500*time.Millisecond)
	choice, _ := b.Choose(start, candidates(near, region), testRequest())
	g.Expect(choice.Entry.Node).To(gomega.Equal("region"))
}

// TestChooseIncludesNewServers guards against a server that joins and receives no
// requests.
func TestChooseIncludesNewServers(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := New(testConfig())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	old, joined := entry("old", "a1"), entry("joined", "a1")
	observeRequests(b, old, 100*time.Millisecond, 5000)
	got := 0
	for range 20 {
		request := testRequest()
		if choice, _ := b.Choose(start, candidates(old, joined), request); choice.Entry.Node == "joined" {
			got++
		}
	}
	g.Expect(got).To(gomega.BeNumerically(">", 0))
}

// TestChooseProperties guards against the choice of an excluded node, an
// unreachable node that is preferred to a reachable one, and a count of requests
// in flight that drifts.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testConfig())
		if err != nil {
			t.Fatal(err)
		}
		var all []fleet.Entry
		for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
			all = append(all, entry(fmt.Sprint(i), rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "domain")))
		}
		group := candidates(all...)
		now := start
		inFlight := make(map[string]int)
		down := make(map[string]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			request := testRequest()
			if rapid.Bool().Draw(t, "exclude") {
				request.Excluded = []string{rapid.SampledFrom(all).Draw(t, "excluded").Node}
			}
			choice, ok := b.Choose(now, group, request)
			if !ok {
				continue
			}
			node := choice.Entry.Node
			if len(request.Excluded) > 0 && node == request.Excluded[0] {
				t.Fatalf("chose the excluded node %s", node)
			}
			checkChosenIsReachable(t, all, down, now, request.Excluded, node)
			inFlight[node]++
			switch rapid.IntRange(0, 3).Draw(t, "end") {
			case 0:
				b.Done(now, node, "r", &Report{Slots: 4, HoldTime: time.Millisecond, ServiceTime: time.Millisecond, TotalTime: time.Millisecond}, 2*time.Millisecond)
				inFlight[node]--
				delete(down, node)
			case 1:
				b.MarkUnreachable(now, node)
				down[node] = now.Add(firstBackoff)
				b.Done(now, node, "r", nil, time.Millisecond)
				inFlight[node]--
			}
		}
		for node, want := range inFlight {
			if got := b.peers[node].inFlight; got != want {
				t.Fatalf("node %s has %d requests in flight, the balancer counts %d", node, want, got)
			}
		}
	})
}

// checkChosenIsReachable fails when the chosen node has just been unreachable
// although another candidate was not.
func checkChosenIsReachable(t *rapid.T, all []fleet.Entry, down map[string]time.Time, now time.Time, excluded []string, chosen string) {
	if !now.Before(down[chosen]) {
		return
	}
	for _, e := range all {
		if len(excluded) > 0 && e.Node == excluded[0] {
			continue
		}
		if down[e.Node].IsZero() {
			t.Fatalf("chose %s, which is unreachable, and not %s", chosen, e.Node)
		}
	}
}

// TestCostlyNodeIsNotChosenAfterRefusal guards against large responses that cross
// the paid link, at a cost above the value of the request, because the nearby
// nodes were busy. It also guards against a service without a nearby node that is
// never used.
func TestCostlyNodeIsNotChosenAfterRefusal(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := New(testConfig())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	near, far := entry("near", "a1"), entry("far", "b1")
	observeRequests(b, near, 100*time.Millisecond, 90_000)
	both := []fleet.Entry{near, far}
	request := testRequest()
	choice, ok := b.Choose(start, candidates(both...), request)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(choice.Entry.Node).To(gomega.Equal("near"))
	request.Excluded = []string{"near"}
	_, ok = b.Choose(start, candidates(both...), request)
	g.Expect(ok).To(gomega.BeFalse())
	request.Excluded = nil
	choice, ok = b.Choose(start, candidates(far), request)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(choice.Entry.Node).To(gomega.Equal("far"))
}
