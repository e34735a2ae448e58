package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

// loadPattern is a load on the 97 servers of a service in 8 failure domains of 2
// regions, with an outbound proxy beside each.
type loadPattern struct {
	name string
	// load is the offered work as a share of the slots of the servers that run.
	load float64
	// slow is the share of servers that take slowFactor times as long.
	slow float64
	// lostDomains is the number of domains whose servers don't respond although the
	// view still has them.
	lostDomains int
	requests    int
}

// loadResult is what a run of a pattern showed, per request.
type loadResult struct {
	inObjective float64
	// failedAttempts counts the attempts to servers that don't respond, repeated those
	// among them to a server that failed at the same outbound proxy less than
	// firstBackoff before.
	failedAttempts, repeated float64
}

const (
	simulatedServers     = 97
	slowFactor           = 4
	simulatedSlots       = 5
	simulatedServiceTime = 100 * time.Millisecond
	simulatedObjective   = 500 * time.Millisecond
)

// simulatedServer is a server with a queue in the order of arrival.
type simulatedServer struct {
	running int
	queue   []*simulatedRequest
	slow    bool
	lost    bool
	// holdTime is the moving average of the time for which a request holds a slot.
	holdTime float64
}

type simulatedRequest struct {
	proxy            *Balancer
	server           int
	arrived, started time.Time
}

// completion is the end of a request at its server.
type completion struct {
	at      time.Time
	request *simulatedRequest
}

// completions is a heap of the requests that run, next end first.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// loadSimulation is a discrete-event run of one pattern.
type loadSimulation struct {
	random   *rand.Rand
	requests int
	servers  []simulatedServer
	pending  completions
	late     int
}

func (s *loadSimulation) start(now time.Time, r *simulatedRequest) {
	server := &s.servers[r.server]
	server.running++
	r.started = now
	serviceTime := float64(simulatedServiceTime) * (0.5 + s.random.Float64())
	if server.slow {
		serviceTime *= slowFactor
	}
	heap.Push(&s.pending, completion{at: now.Add(time.Duration(serviceTime)), request: r})
}

func (s *loadSimulation) arrive(now time.Time, r *simulatedRequest) {
	if server := &s.servers[r.server]; server.running == simulatedSlots {
		server.queue = append(server.queue, r)
		return
	}
	s.start(now, r)
}

func (s *loadSimulation) complete(c completion) {
	server := &s.servers[c.request.server]
	server.running--
	hold := float64(c.at.Sub(c.request.started))
	server.holdTime = ewma(server.holdTime, hold)
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.start(c.at, next)
	}
	total := c.at.Sub(c.request.arrived)
	if total > simulatedObjective {
		s.late++
	}
	c.request.proxy.Done(c.at, strconv.Itoa(c.request.server), "r", &Report{
		Running: server.running, Waiting: len(server.queue), Slots: simulatedSlots,
		HoldTime: time.Duration(server.holdTime), TotalTime: total, ServiceTime: time.Duration(hold),
	}, total+time.Millisecond)
}

// newLoadSimulation returns the servers of a pattern, their entries and the capacity of
// those that respond in requests per second.
func newLoadSimulation(pattern loadPattern) (*loadSimulation, []fleet.Entry, float64) {
	s := &loadSimulation{random: rand.New(rand.NewPCG(1, 2)), requests: pattern.requests, servers: make([]simulatedServer, simulatedServers)}
	var entries []fleet.Entry
	capacity := 0.0
	for i := range s.servers {
		s.servers[i].slow = s.random.Float64() < pattern.slow
		s.servers[i].lost = i%8 < pattern.lostDomains
		switch {
		case s.servers[i].lost:
		case s.servers[i].slow:
			capacity += simulatedSlots / simulatedServiceTime.Seconds() / slowFactor
		default:
			capacity += simulatedSlots / simulatedServiceTime.Seconds()
		}
		e := entry(fmt.Sprint(i), fmt.Sprint("d", i%8))
		e.Slots = simulatedSlots
		entries = append(entries, e)
	}
	return s, entries, capacity
}

// play lets requests arrive at random times and returns the share in the objective.
// send returns the server of a request and its outbound proxy.
func (s *loadSimulation) play(requestsPerSecond float64, send func(now time.Time) (int, *Balancer)) float64 {
	now := start
	for range s.requests {
		now = now.Add(time.Duration(-math.Log(1-s.random.Float64()) / requestsPerSecond * float64(time.Second)))
		for len(s.pending) > 0 && s.pending[0].at.Before(now) {
			s.complete(heap.Pop(&s.pending).(completion))
		}
		server, proxy := send(now)
		s.arrive(now, &simulatedRequest{proxy: proxy, server: server, arrived: now})
	}
	for len(s.pending) > 0 {
		s.complete(heap.Pop(&s.pending).(completion))
	}
	return 1 - float64(s.late)/float64(s.requests)
}

// chooseFunc is a choice of a balancer.
type chooseFunc func(*Balancer, time.Time, fleet.Candidates, Request) (Choice, bool)

// play plays a pattern with the balancers of the outbound proxies.
func play(t *testing.T, pattern loadPattern, choose chooseFunc) loadResult {
	t.Helper()
	g := gomega.NewWithT(t)
	s, entries, capacity := newLoadSimulation(pattern)
	config := DefaultConfig()
	config.Regions = make(map[string]string)
	for d := range 8 {
		config.Regions[fmt.Sprint("d", d)] = fmt.Sprint("r", d%2)
	}
	var proxies []*Balancer
	for _, e := range entries {
		config.Domain = e.Domain
		proxy, err := New(config)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		proxies = append(proxies, proxy)
	}
	group := candidates(entries...)
	var failedAt [simulatedServers][simulatedServers]time.Time
	failed, repeated := 0, 0
	inObjective := s.play(pattern.load*capacity, func(now time.Time) (int, *Balancer) {
		from := s.random.IntN(len(proxies))
		proxy := proxies[from]
		request := Request{Route: "r", Remaining: simulatedObjective, Objective: simulatedObjective, Random: s.random.Float64}
		for {
			choice, ok := choose(proxy, now, group, request)
			g.Expect(ok).To(gomega.BeTrue())
			server, err := strconv.Atoi(choice.Entry.Node)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if !s.servers[server].lost {
				return server, proxy
			}
			failed++
			if now.Sub(failedAt[from][server]) < firstBackoff {
				repeated++
			}
			failedAt[from][server] = now
			proxy.MarkUnreachable(now, choice.Entry.Node)
			proxy.Done(now, choice.Entry.Node, "r", nil, time.Millisecond)
			request.Excluded = append(request.Excluded, choice.Entry.Node)
		}
	})
	return loadResult{
		inObjective: inObjective, failedAttempts: float64(failed) / float64(s.requests), repeated: float64(repeated) / float64(s.requests),
	}
}

// chooseAmongAll is the choice that collects all candidates instead of drawing a few.
func chooseAmongAll(b *Balancer, now time.Time, group fleet.Candidates, request Request) (Choice, bool) {
	stats := b.route(request.Route)
	var available, inBackoff [numDistances][]candidate
	anyAvailable := false
	for _, nodes := range group.Groups() {
		distance := b.config.distanceTo(nodes.Domain)
		for i := range nodes.Len() {
			c := candidate{entry: nodes.At(i), peer: b.peer(nodes.At(i))}
			switch {
			case slices.Contains(request.Excluded, c.entry.Node):
			case c.peer.inBackoff(now):
				inBackoff[distance] = append(inBackoff[distance], c)
			default:
				available[distance] = append(available[distance], c)
				anyAvailable = true
			}
		}
	}
	if !anyAvailable {
		available = inBackoff
	}
	var best Choice
	found := false
	for distance := range numDistances {
		for _, c := range sample(now, available[distance], request.Random) {
			if choice := b.estimate(now, c, distance, stats, request); !found || choice.Cost < best.Cost {
				best, found = choice, true
			}
		}
	}
	if found {
		b.peers[best.Entry.Node].inFlight++
	}
	return best, found
}

// TestLoadPatternsOfLargeFleet guards against a choice among a few drawn servers that
// serves a large service worse than the choice among all of them, and against attempts
// to servers in backoff while others are left.
func TestLoadPatternsOfLargeFleet(t *testing.T) {
	for _, pattern := range []loadPattern{
		{name: "healthy servers at 85 %", load: 0.85, requests: 10_000},
		{name: "a third of the servers four times slower", load: 0.7, slow: 0.33, requests: 20_000},
		{name: "two of eight domains lost", load: 0.7, lostDomains: 2, requests: 10_000},
		{name: "six of eight domains lost", load: 0.7, lostDomains: 6, requests: 5_000},
	} {
		t.Run(pattern.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			few := play(t, pattern, (*Balancer).Choose)
			all := play(t, pattern, chooseAmongAll)
			t.Logf("among few: %+v", few)
			t.Logf("among all: %+v", all)
			g.Expect(few.inObjective).To(gomega.BeNumerically(">=", all.inObjective-0.01))
			g.Expect(few.repeated).To(gomega.BeNumerically("<=", 0.0001), "the share that maxDrawn allows")
		})
	}
}
