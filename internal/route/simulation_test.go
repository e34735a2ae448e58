package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/admit"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/member"
	"rosemaryladder.dev/rosemaryladder/internal/result"
	"rosemaryladder.dev/rosemaryladder/internal/retry"
)

const (
	slotsPerServer = 6
	// warmUp is the start of a run that the results exclude.
	warmUp = 2 * time.Second
	// coldStart is how long after the start the cold server becomes ready.
	coldStart = 4 * time.Second
)

// callClass is a class of calls in the compared deployment.
type callClass struct {
	target    *config.Target
	instances int
	service   time.Duration
	bytes     float64
}

var classes = []callClass{
	{lookups, 5, 20 * time.Millisecond, 4e3},
	{&config.Target{Service: "orderdesk", Priority: config.PriorityOrder,
		Deadline: 800 * time.Millisecond, Latency: 160 * time.Millisecond}, 4, 40 * time.Millisecond, 2e3},
	{&config.Target{Service: "templatevault", Idempotent: true, Priority: config.PriorityDownload,
		Deadline: 6 * time.Second, Latency: 2 * time.Second}, 4, 400 * time.Millisecond, 2e6},
}

var domains = []struct{ region, name string }{
	{"trondelag", "trd-hall"}, {"vestland", "bgo-depot"}, {"trondelag", "trd-annex"}, {"vestland", "svg-depot"},
}

// backend is a simulated backend server with slots, a queue and service times.
type backend struct {
	record      member.Record
	queue       *admit.Queue
	slowdown    float64
	failures    float64
	reportsIdle bool
	coldUntil   time.Time
}

// outboundProxy is a node that sends calls.
type outboundProxy struct {
	record  member.Record
	chooser Chooser
	budget  *retry.Budget
	view    *member.View
}

type attempt struct {
	class    *callClass
	outbound *outboundProxy
	start    time.Time
	sent     time.Time
	attempts int
	excluded []string
	server   *backend
}

// classTotals are the totals that the callers of one class saw.
type classTotals struct{ calls, attempts, withinObjective, failed, bytes, crossRegionBytes float64 }

// simulation is a deterministic discrete-event simulation: servers are queues
// with slots, and every outbound proxy has its own chooser.
type simulation struct {
	now       time.Time
	end       time.Time
	random    *rand.Rand
	events    eventQueue
	sequence  int
	servers   map[string]*backend
	outbounds []*outboundProxy
	totals    map[string]*classTotals
}

type scheduledEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scenario configures one run of the simulation.
type scenario struct {
	algorithm Algorithm
	// load is the offered load as a share of all slots.
	load float64
	// faulty adds one slow, one misreporting and one cold server; the rotation
	// selects the service of each.
	faulty   bool
	rotation int
	length   time.Duration
	// outboundsPerServer is the number of nodes that send calls for each
	// server.
	outboundsPerServer int
}

func newSimulation(t testing.TB, sc scenario) *simulation {
	s := &simulation{
		now: time.Unix(1e9, 0), servers: map[string]*backend{}, totals: map[string]*classTotals{},
		random: rand.New(rand.NewPCG(1, uint64(sc.rotation))),
	}
	s.end = s.now.Add(sc.length)
	for i := range classes {
		s.totals[classes[i].target.Service] = &classTotals{}
		for instance := range classes[i].instances {
			s.addServer(&classes[i], instance)
		}
	}
	if sc.faulty {
		s.addFaults(sc.rotation)
	}
	for range max(1, sc.outboundsPerServer) {
		s.addOutbounds(t, sc.algorithm)
	}
	s.publish()
	for i := range classes {
		rate := sc.load * float64(classes[i].instances*slotsPerServer) / classes[i].service.Seconds()
		s.scheduleCalls(&classes[i], rate)
	}
	return s
}

func (s *simulation) addServer(class *callClass, instance int) {
	domain := domains[instance%len(domains)]
	record := serverRecord(fmt.Sprintf("%s-%d", class.target.Service, instance), domain.region, domain.name, s.now.Add(-time.Hour))
	record.Server.Service = class.target.Service
	record.Server.Slots = slotsPerServer
	server := &backend{record: record, queue: admit.NewQueue(), slowdown: 1}
	// The server has been ready for an hour.
	server.queue.Open(record.Server.Since, admit.Capacity{Slots: slotsPerServer, Connections: 130, ReadySince: record.Server.Since})
	s.servers[record.ID] = server
}

func (s *simulation) addFaults(rotation int) {
	server := func(service, instance int) *backend {
		return s.servers[fmt.Sprintf("%s-%d", classes[(rotation+service)%len(classes)].target.Service, instance)]
	}
	server(0, 0).slowdown = 4
	misreporting := server(1, 1)
	switch rotation {
	case 0: // reports no load and fails half of its calls fast
		misreporting.reportsIdle, misreporting.failures = true, 0.5
	case 1: // reports no load and is slow
		misreporting.reportsIdle, misreporting.slowdown = true, 3
	default: // fails every call fast
		misreporting.failures = 1
	}
	cold := server(2, 2)
	cold.record.Server.State = member.ServerStarting
	cold.record.Server.Since = s.now
	cold.coldUntil = s.now.Add(coldStart + rampDuration)
	cold.queue.Drain()
	s.after(coldStart, func() {
		cold.record.Server.State = member.ServerReady
		cold.record.Server.Since = s.now
		cold.queue.Open(s.now, admit.Capacity{Slots: slotsPerServer, Connections: 130, ReadySince: s.now})
		s.publish()
	})
}

func (s *simulation) addOutbounds(t testing.TB, algorithm Algorithm) {
	for _, server := range s.sortedServers() {
		settings := DefaultConfig()
		settings.Algorithm = algorithm
		balancer, err := NewBalancer(settings)
		if err != nil {
			t.Fatal(err)
		}
		s.outbounds = append(s.outbounds, &outboundProxy{record: server.record, chooser: balancer, budget: retry.NewBudget()})
	}
}

func (s *simulation) sortedServers() []*backend {
	var servers []*backend
	for _, server := range s.servers {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b *backend) int { return cmp.Compare(a.record.ID, b.record.ID) })
	return servers
}

// publish gives every outbound proxy the current view.
func (s *simulation) publish() {
	var records []member.Record
	for _, server := range s.sortedServers() {
		records = append(records, server.record)
	}
	for _, outbound := range s.outbounds {
		outbound.view = member.NewView(outbound.record, records, nil)
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, scheduledEvent{s.now.Add(delay), s.sequence, run})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(scheduledEvent)
		s.now = next.at
		next.run()
	}
}

// scheduleCalls sends calls of a class from random outbound proxies, at
// exponential intervals, until the end. Calls then in flight run to completion.
func (s *simulation) scheduleCalls(class *callClass, rate float64) {
	if s.now.After(s.end) {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.send(&attempt{class: class, outbound: s.outbounds[s.random.IntN(len(s.outbounds))], start: s.now})
		s.scheduleCalls(class, rate)
	})
}

func (s *simulation) totalsFor(a *attempt) *classTotals {
	if a.start.Before(s.end.Add(-s.measuredTime())) {
		return &classTotals{}
	}
	return s.totals[a.class.target.Service]
}

// measuredTime is the length of the run without the warm-up.
func (s *simulation) measuredTime() time.Duration { return s.end.Sub(time.Unix(1e9, 0)) - warmUp }

func (s *simulation) send(a *attempt) {
	if a.attempts == 0 {
		a.outbound.budget.RecordFirstAttempt()
		s.totalsFor(a).calls++
	}
	a.attempts++
	a.sent = s.now
	record, found := a.outbound.chooser.Choose(a.outbound.view, nil, Request{
		Target: a.class.target, Now: s.now, Excluded: a.excluded, Random: s.random.Uint64(),
	})
	if !found {
		return
	}
	s.totalsFor(a).attempts++
	a.server = s.servers[record.ID]
	s.after(s.latency(a), func() { s.offer(a) })
}

func (s *simulation) latency(a *attempt) time.Duration {
	from, to := &a.outbound.record, &a.server.record
	switch {
	case from.Region != to.Region:
		return 12 * time.Millisecond
	case from.FailureDomain != to.FailureDomain:
		return 1400 * time.Microsecond
	default:
		return 50 * time.Microsecond
	}
}

func (s *simulation) offer(a *attempt) {
	queue := a.server.queue
	deadline := a.start.Add(a.class.target.Deadline)
	var ticket *admit.Ticket
	ticket, err := queue.Offer(s.now, admit.Request{
		Priority: a.class.target.Priority, Deadline: deadline, Objective: a.start.Add(a.class.target.Latency),
		OnDecision: func(err error) {
			s.after(0, func() { s.onDecision(a, ticket, err) })
		},
	})
	if err != nil {
		s.refused(a, err)
		return
	}
	if ticket.Running() {
		s.onDecision(a, ticket, nil)
		return
	}
	s.after(deadline.Sub(s.now), func() {
		if ticket.Waiting() {
			queue.Abandon(s.now, ticket)
			s.refused(a, result.Errorf(result.DeadlineNotRun, "deadline"))
		}
	})
	s.after(50*time.Millisecond, func() { queue.Dispatch(s.now) })
}

func (s *simulation) onDecision(a *attempt, ticket *admit.Ticket, err error) {
	if err != nil {
		s.refused(a, err)
		return
	}
	duration, failed := s.serviceTime(a)
	if left := a.start.Add(a.class.target.Deadline).Sub(s.now); duration > left {
		duration, failed = left, true
	}
	s.after(duration, func() {
		load := s.loadReport(a.server)
		a.server.queue.Finish(s.now, ticket)
		s.after(s.latency(a), func() { s.completed(a, failed, load) })
	})
}

func (s *simulation) serviceTime(a *attempt) (time.Duration, bool) {
	server := a.server
	if server.failures > 0 && s.random.Float64() < server.failures {
		return time.Millisecond, true
	}
	slowdown := server.slowdown
	if left := server.coldUntil.Sub(s.now); left > 0 {
		slowdown += 2 * left.Seconds() / rampDuration.Seconds()
	}
	// The sum of two exponential times has a coefficient of variation of 0.7.
	factor := (s.random.ExpFloat64() + s.random.ExpFloat64()) / 2
	return time.Duration(factor * slowdown * float64(a.class.service)), false
}

func (s *simulation) loadReport(server *backend) *Load {
	if server.reportsIdle {
		return &Load{Slots: slotsPerServer}
	}
	return &Load{InFlight: server.queue.Running(), Slots: server.queue.Slots(s.now), Queued: server.queue.Waiting()}
}

func (s *simulation) completed(a *attempt, failed bool, load *Load) {
	a.outbound.chooser.Observe(a.server.record.ID, s.now, Outcome{
		Priority: a.class.target.Priority, Elapsed: s.now.Sub(a.sent), Failed: failed, Load: load,
	})
	totals := s.totalsFor(a)
	totals.bytes += a.class.bytes
	if a.outbound.record.Region != a.server.record.Region {
		totals.crossRegionBytes += a.class.bytes
	}
	if failed {
		totals.failed++
		return
	}
	if s.now.Sub(a.start) <= a.class.target.Latency {
		totals.withinObjective++
	}
}

func (s *simulation) refused(a *attempt, err error) {
	load := s.loadReport(a.server)
	s.after(s.latency(a), func() {
		a.outbound.chooser.Observe(a.server.record.ID, s.now, Outcome{
			Priority: a.class.target.Priority, Elapsed: s.now.Sub(a.sent), Refused: true, Load: load,
		})
		if a.outbound.budget.Allow(retry.Failure{
			Code: result.CodeOf(err), Run: result.NotRun, Idempotent: a.class.target.Idempotent,
			Attempts: a.attempts, Remaining: a.start.Add(a.class.target.Deadline).Sub(s.now),
		}) {
			a.excluded = append(a.excluded, a.server.record.ID)
			s.send(a)
		}
	})
}

// results are the mean results of one or more runs in percent; amplification is
// in attempts per call.
type results struct {
	// withinObjective is by class, in the order of classes.
	withinObjective    [3]float64
	goodput            [3]float64
	crossRegionPercent float64
	amplification      float64
}

func (s *simulation) results() results {
	var r results
	var sum classTotals
	for i := range classes {
		totals := s.totals[classes[i].target.Service]
		r.withinObjective[i] = 100 * totals.withinObjective / totals.calls
		capacity := float64(classes[i].instances*slotsPerServer) * s.measuredTime().Seconds() / classes[i].service.Seconds()
		r.goodput[i] = 100 * totals.withinObjective / capacity
		sum.calls += totals.calls
		sum.attempts += totals.attempts
		sum.bytes += totals.bytes
		sum.crossRegionBytes += totals.crossRegionBytes
	}
	r.crossRegionPercent = 100 * sum.crossRegionBytes / sum.bytes
	r.amplification = sum.attempts / sum.calls
	return r
}
