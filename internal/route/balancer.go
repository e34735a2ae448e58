package route

import (
	"sync"
	"sync/atomic"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
)

// cleanupInterval is how often servers that left the membership are removed
// from the table.
const cleanupInterval = 10 * time.Second

// Balancer implements Chooser. Choosing among tracked servers takes no lock.
type Balancer struct {
	config      Config
	servers     *table
	lastCleanup atomic.Int64
	buffers     sync.Pool
}

// NewBalancer returns a balancer. The error says why the config is invalid.
func NewBalancer(config Config) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	balancer := &Balancer{config: config, servers: newTable(config.MaxServers)}
	balancer.buffers.New = func() any { return new([]candidate) }
	return balancer, nil
}

// Choose implements Chooser.
func (b *Balancer) Choose(view *member.View, stops []config.Stop, request Request) (member.Record, bool) {
	b.removeDeparted(view, request.Now)
	buffer := b.buffers.Get().(*[]candidate)
	defer b.releaseCandidates(buffer)
	*buffer = b.collect((*buffer)[:0], view, stops, &request)
	if len(*buffer) == 0 {
		return member.Record{}, false
	}
	chosen := b.pickByRegion(*buffer, view, &request)
	chosen.server.inFlight.Add(1)
	return *chosen.record, true
}

// Observe implements Chooser.
func (b *Balancer) Observe(node string, now time.Time, outcome Outcome) {
	if server := b.servers.get(node); server != nil {
		server.observe(now, outcome)
	}
}

// Untracked returns how often a server was not tracked because the table was
// full.
func (b *Balancer) Untracked() uint64 { return b.servers.untracked.Load() }

// collect appends the eligible servers, those of the local region first.
// Starting servers are used only when no ready server is eligible.
func (b *Balancer) collect(candidates []candidate, view *member.View, stops []config.Stop, request *Request) []candidate {
	candidates = b.collectInState(candidates, member.ServerReady, view, stops, request)
	if len(candidates) == 0 {
		candidates = b.collectInState(candidates, member.ServerStarting, view, stops, request)
	}
	mean := meanServiceTime(candidates)
	for i := range candidates {
		candidates[i].setEstimate(request.Now, mean, request.Target.Latency)
	}
	return candidates
}

func (b *Balancer) collectInState(candidates []candidate, state member.ServerState, view *member.View, stops []config.Stop, request *Request) []candidate {
	records := view.Servers(request.Target.Service)
	for _, local := range []bool{true, false} {
		for i := range records {
			record := &records[i]
			if record.Server.State != state || (record.Region == view.Self.Region) != local {
				continue
			}
			if eligible(view, stops, request, record) {
				candidates = append(candidates, b.newCandidate(view, request, record))
			}
		}
	}
	return candidates
}

func (b *Balancer) newCandidate(view *member.View, request *Request, record *member.Record) candidate {
	server := b.servers.track(record.ID)
	server.resetIfRestarted(record)
	server.roundTrip.Store(int64(2 * b.latency(&view.Self, record)))
	serviceTime, weight := server.serviceTime(request.Now, request.Target.Priority)
	return candidate{
		record:            record,
		server:            server,
		load:              server.load(request.Now),
		slots:             usableSlots(record, server, request.Now),
		serviceTime:       serviceTime,
		serviceTimeWeight: weight,
	}
}

// latency returns the configured one-way latency between two nodes.
func (b *Balancer) latency(from, to *member.Record) time.Duration {
	switch {
	case from.Region != to.Region:
		return b.config.RegionLatency
	case from.FailureDomain != to.FailureDomain:
		return b.config.DomainLatency
	default:
		return 0
	}
}

func (b *Balancer) releaseCandidates(buffer *[]candidate) {
	clear(*buffer)
	b.buffers.Put(buffer)
}

func (b *Balancer) removeDeparted(view *member.View, now time.Time) {
	last := b.lastCleanup.Load()
	if now.UnixNano()-last < int64(cleanupInterval) || !b.lastCleanup.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	b.servers.removeDeparted(view)
}
