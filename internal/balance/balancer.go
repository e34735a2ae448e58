package balance

import (
	"math"
	"slices"
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
// lock is held for one choice among the nodes of one service.
type Balancer struct {
	config Config

	mu     sync.Mutex
	peers  map[string]*peer
	routes map[string]*routeStats
}

// New returns a balancer without observations.
func New(config Config) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Balancer{config: config, peers: make(map[string]*peer), routes: make(map[string]*routeStats)}, nil
}

// Choose returns the candidate with the lowest cost and counts a request in
// flight there until Done. Nodes in backoff are chosen only when no other
// candidate is left. Once a nearer node was tried, a node whose transfer cost
// exceeds the value of the request is not chosen. It returns false when no
// candidate is left.
func (b *Balancer) Choose(now time.Time, candidates []fleet.Entry, request Request) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.route(request.Route)
	var best Choice
	found := false
	for _, group := range b.eligible(now, candidates, stats, request) {
		for _, c := range sample(group, request.Random) {
			choice := b.estimate(now, c.entry, c.peer, stats, request)
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

// eligible returns the candidates that may be chosen, grouped by distance: those
// that are not in backoff, or all when every one is.
func (b *Balancer) eligible(now time.Time, candidates []fleet.Entry, stats *routeStats, request Request) [numDistances][]candidate {
	excludedCost := b.cheapestExcluded(candidates, stats, request.Excluded)
	var available, inBackoff [numDistances][]candidate
	anyAvailable := false
	for _, entry := range candidates {
		if slices.Contains(request.Excluded, entry.Node) {
			continue
		}
		if cost := b.transferCost(entry, stats); cost > requestValue && cost > excludedCost {
			continue
		}
		c := candidate{entry: entry, peer: b.peer(entry)}
		distance := b.config.distanceTo(entry.Domain)
		if c.peer.inBackoff(now) {
			inBackoff[distance] = append(inBackoff[distance], c)
			continue
		}
		available[distance] = append(available[distance], c)
		anyAvailable = true
	}
	if anyAvailable {
		return available
	}
	return inBackoff
}

// cheapestExcluded returns the lowest transfer cost among the candidates that
// were tried already; infinity when there are none.
func (b *Balancer) cheapestExcluded(candidates []fleet.Entry, stats *routeStats, excluded []string) float64 {
	cheapest := math.Inf(1)
	for _, entry := range candidates {
		if slices.Contains(excluded, entry.Node) {
			cheapest = min(cheapest, b.transferCost(entry, stats))
		}
	}
	return cheapest
}

// transferCost returns the cost of transferring a request and its response to and
// from a node.
func (b *Balancer) transferCost(entry fleet.Entry, stats *routeStats) float64 {
	return b.costPerMB(b.config.distanceTo(entry.Domain)) * stats.bytes / bytesPerMB
}

// estimate returns the cost of sending the request to a node.
func (b *Balancer) estimate(now time.Time, entry fleet.Entry, p *peer, stats *routeStats, request Request) Choice {
	distance := b.config.distanceTo(entry.Domain)
	rtt := p.rtt
	if rtt == 0 {
		rtt = b.assumedRTT(distance)
	}
	serviceTime := time.Duration(stats.serviceTime * p.currentSlowdown(now))
	predicted := rtt + p.predictedWait(now, entry.Slots) + serviceTime + p.transferTime(now, stats.bytes)
	probability := missProbability(predicted, request.Remaining, request.Objective)
	cost := latePenalty*probability + p.failureRate(now) + b.transferCost(entry, stats)
	cost += latencyWeight * float64(predicted) / float64(max(request.Objective, 1))
	cost += maxJitter * request.Random()
	loadAge := time.Duration(-1)
	if !p.reportedAt.IsZero() {
		loadAge = now.Sub(p.reportedAt)
	}
	return Choice{Entry: entry, Distance: distance, RTT: rtt, ServiceTime: serviceTime, Cost: cost, LoadAge: loadAge}
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
	known := make(map[string]bool)
	for _, entry := range view.Entries() {
		known[entry.Node] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, p := range b.peers {
		if !known[node] && p.inFlight == 0 {
			delete(b.peers, node)
		}
	}
}

// peer returns the state of a node. After a change of the server's identity, only
// the requests in flight and the round-trip time are kept, because the other
// observations don't apply to the new server.
func (b *Balancer) peer(entry fleet.Entry) *peer {
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
