package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
)

const (
	// lateWorth is what a request loses when it misses its objective, in units of
	// its worth.
	lateWorth = 0.7
	// lateCentre and lateWidth shape the chance of missing the objective over the
	// predicted time as a share of it: even at the centre, because the times of
	// single requests spread widely.
	lateCentre = 0.8
	lateWidth  = 0.15
	// timeWorth prefers the faster of two servers that both meet the objective.
	timeWorth = 0.05
	// spread is the largest random part of a cost, so that equal servers share.
	spread = 0.01
	// minTransfer is the size of an answer from which its throughput is measured.
	minTransfer = 32 << 10
	// requestWorth is the worth of one request, the unit of all costs. A way that
	// costs more is taken only when no nearer node offers the service.
	requestWorth = 1.0
	// bytesPerMB converts to the unit of the prices.
	bytesPerMB = 1 << 20
	// maxRoutes bounds the routes with averages of their own.
	maxRoutes = 512
)

// Balancer chooses nodes. It is safe for concurrent use; its lock is held for
// one choice among the nodes of one service.
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

// Choose returns the node with the lowest cost among the candidates, and counts
// a request in flight there until Done. Nodes that are passed over are chosen
// only when no other is left. After a nearer node was tried, one whose way costs
// more than the request is worth is not chosen. false when no candidate is left.
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

// eligible returns the candidates that may be chosen, by their distance: those that
// are not passed over, or all when every one is.
func (b *Balancer) eligible(now time.Time, candidates []fleet.Entry, stats *routeStats, request Request) [distances][]candidate {
	refusedPrice := b.cheapestExcluded(candidates, stats, request.Excluded)
	var up, down [distances][]candidate
	anyUp := false
	for _, entry := range candidates {
		if slices.Contains(request.Excluded, entry.Node) {
			continue
		}
		if price := b.transferPrice(entry, stats); price > requestWorth && price > refusedPrice {
			continue
		}
		c := candidate{entry: entry, peer: b.peer(entry)}
		distance := b.config.distanceTo(entry.Domain)
		if c.peer.down(now) {
			down[distance] = append(down[distance], c)
			continue
		}
		up[distance] = append(up[distance], c)
		anyUp = true
	}
	if anyUp {
		return up
	}
	return down
}

// cheapestExcluded returns the lowest price of the way among the candidates that
// were tried already; infinite when there are none.
func (b *Balancer) cheapestExcluded(candidates []fleet.Entry, stats *routeStats, excluded []string) float64 {
	cheapest := math.Inf(1)
	for _, entry := range candidates {
		if slices.Contains(excluded, entry.Node) {
			cheapest = min(cheapest, b.transferPrice(entry, stats))
		}
	}
	return cheapest
}

// transferPrice returns the price of a request's and its answer's bytes on the way
// to a node.
func (b *Balancer) transferPrice(entry fleet.Entry, stats *routeStats) float64 {
	return b.price(b.config.distanceTo(entry.Domain)) * stats.bytes / bytesPerMB
}

// estimate returns the cost of sending the request to a node.
func (b *Balancer) estimate(now time.Time, entry fleet.Entry, p *peer, stats *routeStats, request Request) Choice {
	distance := b.config.distanceTo(entry.Domain)
	rtt := p.rtt
	if rtt == 0 {
		rtt = b.assumedRTT(distance)
	}
	work := time.Duration(stats.work * p.relativeSpeed(now))
	predicted := rtt + p.wait(now, entry.Slots) + work + p.transferTime(now, stats.bytes)
	late := chanceLate(predicted, request.Remaining, request.Objective)
	cost := lateWorth*late + p.failing(now) + b.transferPrice(entry, stats)
	cost += timeWorth * float64(predicted) / float64(max(request.Objective, 1))
	cost += spread * request.Random()
	age := time.Duration(-1)
	if !p.reported.IsZero() {
		age = now.Sub(p.reported)
	}
	return Choice{Entry: entry, Distance: distance, RTT: rtt, ServiceTime: work, Cost: cost, LoadAge: age}
}

func chanceLate(predicted, remaining, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	share := float64(predicted+objective-remaining) / float64(objective)
	return 1 / (1 + math.Exp((lateCentre-share)/lateWidth))
}

// Done notes the end of a request to a node. report is nil when the node said
// nothing of its server.
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
	p.reached()
	stats := b.route(route)
	if report.ServiceTime > 0 {
		stats.addWork(float64(report.ServiceTime))
	}
	p.observe(now, *report, elapsed, stats.work)
}

// ObserveSize notes the bytes of a request and its answer.
func (b *Balancer) ObserveSize(route string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.route(route).addBytes(float64(bytes))
}

// ObserveTransfer notes how long the body of an answer took. Small ones say nothing
// about the throughput.
func (b *Balancer) ObserveTransfer(now time.Time, node string, bytes int64, elapsed time.Duration) {
	if bytes < minTransfer || elapsed <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.transferred(now, float64(bytes)/elapsed.Seconds())
	}
}

// MarkUnreachable passes a node over for a time that grows with each failure.
func (b *Balancer) MarkUnreachable(now time.Time, node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.unreachable(now)
	}
}

// MarkNoServer passes over a node whose server takes no requests at the moment.
func (b *Balancer) MarkNoServer(now time.Time, node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.downUntil = now.Add(refusalMemory)
	}
}

// MarkReachable notes that a node can be reached again.
func (b *Balancer) MarkReachable(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, found := b.peers[node]; found {
		p.reached()
	}
}

// ExpectedServiceTime returns the average time of a route's requests at a server.
func (b *Balancer) ExpectedServiceTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.route(route).work)
}

// Retain forgets the nodes that are not in the view.
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

// peer returns the observations of a node. Those of an earlier server at the
// same place say nothing about a new one, but for the requests in flight.
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

func (b *Balancer) price(distance Distance) float64 {
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
