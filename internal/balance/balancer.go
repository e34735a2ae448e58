package balance

import (
	"math"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// latePenalty is the cost of missing the objective, in units of the value of
	// a request.
	latePenalty = 0.7
	// lateMidpoint and lateWidth shape the logistic curve that maps the predicted
	// time, as a share of the objective, to the probability of missing it. The
	// probability is 1/2 at the midpoint, below 1, because the times of single
	// requests vary widely.
	lateMidpoint = 0.8
	lateWidth    = 0.15
	// latencyWeight prefers the faster of two servers that both meet the
	// objective.
	latencyWeight = 0.05
	// maxJitter is the largest random part of a cost. It spreads requests over
	// equal servers.
	maxJitter = 0.01
	// minTransferBytes is the size of the smallest response whose throughput is
	// measured.
	minTransferBytes = 32 << 10
	// requestValue is the value of one request, the unit of all costs. A node
	// whose transfer cost exceeds it is chosen only when no nearer node offers
	// the service.
	requestValue = 1.0
	// bytesPerMB converts bytes to the unit of the costs per megabyte.
	bytesPerMB = 1 << 20
	// maxRoutes bounds the routes with their own averages.
	maxRoutes = 512
)

// Balancer chooses the node for each request. It is safe for concurrent use; its
// lock is held for one choice among a few nodes.
type Balancer struct {
	config Config

	mu     sync.Mutex
	peers  map[string]*peer
	routes map[string]*routeStats
	// groups holds the candidates of the current choice by distance. It is reused so
	// that a choice allocates nothing.
	groups [numDistances][]fleet.Group
}

// New returns a balancer without observations.
func New(config Config) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Balancer{config: config, peers: make(map[string]*peer), routes: make(map[string]*routeStats)}, nil
}

// Choose returns the candidate with the lowest cost among a few that it draws at each
// distance, and counts a request in flight there until Done. Nodes in backoff are
// chosen only when no other candidate was drawn. Once a nearer node was tried, a node
// whose transfer cost exceeds the value of the request is not chosen. It returns false
// when no candidate is left.
func (b *Balancer) Choose(now time.Time, candidates fleet.Candidates, request Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.route(request.Route)
	excludedCost := b.cheapestExcluded(candidates, stats, request.Excluded)
	b.groupByDistance(candidates)
	var draws [numDistances]draw
	anyAvailable := false
	for distance := range numDistances {
		if cost := b.transferCost(distance, stats); cost > requestValue && cost > excludedCost {
			continue
		}
		draws[distance] = b.draw(now, b.groups[distance], request)
		anyAvailable = anyAvailable || draws[distance].numAvailable > 0
	}
	var best Choice
	found := false
	for distance := range numDistances {
		d := &draws[distance]
		group := d.available[:d.numAvailable]
		if !anyAvailable {
			group = d.inBackoff[:d.numInBackoff]
		}
		for _, c := range sample(now, group, request.Random) {
			choice := b.estimate(now, c, distance, stats, request)
			if !found || choice.Cost < best.Cost {
				best, found = choice, true
			}
		}
	}
	if found {
		b.peers[best.Entry.Node].inFlight++
	}
	return best, found
}

func (b *Balancer) groupByDistance(candidates fleet.Candidates) {
	for distance := range b.groups {
		b.groups[distance] = b.groups[distance][:0]
	}
	for _, group := range candidates.Groups() {
		distance := b.config.distanceTo(group.Domain)
		b.groups[distance] = append(b.groups[distance], group)
	}
}

// cheapestExcluded returns the lowest transfer cost among the candidates that were
// tried already; infinity when there are none.
func (b *Balancer) cheapestExcluded(candidates fleet.Candidates, stats *routeStats, excluded []string) float64 {
	cheapest := math.Inf(1)
	for _, node := range excluded {
		if entry, found := candidates.Find(node); found {
			cheapest = min(cheapest, b.transferCost(b.config.distanceTo(entry.Domain), stats))
		}
	}
	return cheapest
}

// transferCost returns the cost of transferring a request and its response over a
// distance.
func (b *Balancer) transferCost(distance Distance, stats *routeStats) float64 {
	return b.costPerMB(distance) * stats.bytes / bytesPerMB
}

// estimate returns the cost of sending the request to a candidate.
func (b *Balancer) estimate(now time.Time, c candidate, distance Distance, stats *routeStats, request Request) Choice {
	entry, p := c.entry, c.peer
	rtt := p.rtt
	if rtt == 0 {
		rtt = b.assumedRTT(distance)
	}
	serviceTime := time.Duration(stats.serviceTime * p.currentSlowdown(now))
	predicted := rtt + p.predictedWait(now, entry.Slots) + serviceTime + p.transferTime(now, stats.bytes)
	probability := missProbability(predicted, request.Remaining, request.Objective)
	cost := latePenalty*probability + p.failureRate(now) + b.transferCost(distance, stats)
	cost += latencyWeight * float64(predicted) / float64(max(request.Objective, 1))
	cost += maxJitter * request.Random()
	loadAge := time.Duration(-1)
	if !p.reportedAt.IsZero() {
		loadAge = now.Sub(p.reportedAt)
	}
	return Choice{Entry: *entry, Distance: distance, RTT: rtt, ServiceTime: serviceTime, Cost: cost, LoadAge: loadAge}
}

func missProbability(predicted, remaining, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	share := float64(predicted+objective-remaining) / float64(objective)
	return 1 / (1 + math.Exp((lateMidpoint-share)/lateWidth))
}

// Done records the end of a request to a node. report is nil when the node
// reported nothing about its server.
func (b *Balancer) Done(now time.Time, node, route string, report *Report, elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, found := b.peers[node]
	if !found {
		return
	}
	p.inFlight--
	if report == nil {
		return
	}
	p.markReachable()
	stats := b.route(route)
	if report.ServiceTime > 0 {
		stats.addServiceTime(float64(report.ServiceTime))
	}
	p.observe(now, *report, elapsed, stats.serviceTime)
}

// ObserveSize records the size of a request and its response together, in bytes.
func (b *Balancer) ObserveSize(route string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.route(route).addBytes(float64(bytes))
}

// ObserveTransfer records how long the transfer of a response body from a node
// took. Responses below minTransferBytes are ignored because they don't show the
// throughput.
func (b *Balancer) ObserveTransfer(now time.Time, node string, bytes int64, elapsed time.Duration) {
	if bytes < minTransferBytes || elapsed <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.observeThroughput(now, float64(bytes)/elapsed.Seconds())
	}
}

// MarkUnreachable puts a node into backoff, for longer after each consecutive
// failure.
func (b *Balancer) MarkUnreachable(now time.Time, node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.markUnreachable(now)
	}
}

// MarkNoServer puts a node whose server takes no requests at the moment into
// backoff.
func (b *Balancer) MarkNoServer(now time.Time, node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.backoffUntil = now.Add(noServerBackoff)
	}
}

// MarkReachable ends the backoff of a node.
func (b *Balancer) MarkReachable(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.markReachable()
	}
}

// ExpectedServiceTime returns the average time that a route's requests take at a
// server; 0 before the first sample.
func (b *Balancer) ExpectedServiceTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.route(route).serviceTime)
}

// Retain drops the state of nodes that are not in the view and have no request in
// flight.
func (b *Balancer) Retain(view *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, p := range b.peers {
		if !view.Contains(node) && p.inFlight == 0 {
			delete(b.peers, node)
		}
	}
}

// peer returns the state of a node. After a change of the server's identity, only
// the requests in flight and the round-trip time are kept, because the other
// observations don't apply to the new server.
func (b *Balancer) peer(entry *fleet.Entry) *peer {
	p := b.peers[entry.Node]
	if p == nil {
		p = newPeer(entry.Server)
		b.peers[entry.Node] = p
	}
	if p.server != entry.Server {
		fresh := newPeer(entry.Server)
		fresh.inFlight, fresh.rtt = p.inFlight, p.rtt
		*p = *fresh
	}
	return p
}

func (b *Balancer) route(name string) *routeStats {
	stats := b.routes[name]
	if stats == nil {
		if len(b.routes) >= maxRoutes {
			clear(b.routes)
		}
		stats = &routeStats{}
		b.routes[name] = stats
	}
	return stats
}

func (b *Balancer) costPerMB(distance Distance) float64 {
	switch distance {
	case SameDomain:
		return 0
	case SameRegion:
		return b.config.CrossDomainPerMB
	default:
		return b.config.CrossRegionPerMB
	}
}

func (b *Balancer) assumedRTT(distance Distance) time.Duration {
	switch distance {
	case SameDomain:
		return b.config.DomainRTT
	case SameRegion:
		return b.config.RegionRTT
	default:
		return b.config.RemoteRTT
	}
}
