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
	worldSlots = 6
	// worldWarmUp is left out of the figures.
	worldWarmUp = 2 * time.Second
	// coldStart is when the cold server becomes ready.
	coldStart = 4 * time.Second
)

// work is one class of calls of the compared deployment.
type work struct {
	target    *config.Target
	instances int
	service   time.Duration
	bytes     float64
}

var works = []work{
	{lookups, 5, 20 * time.Millisecond, 4e3},
	{&config.Target{Service: "orderdesk", Priority: config.PriorityOrder,
		Deadline: 800 * time.Millisecond, Latency: 160 * time.Millisecond}, 4, 40 * time.Millisecond, 2e3},
	{&config.Target{Service: "templatevault", Idempotent: true, Priority: config.PriorityDownload,
		Deadline: 6 * time.Second, Latency: 2 * time.Second}, 4, 400 * time.Millisecond, 2e6},
}

var domains = []struct{ region, name string }{
	{"trondelag", "trd-hall"}, {"vestland", "bgo-depot"}, {"trondelag", "trd-annex"}, {"vestland", "svg-depot"},
}

// backend is a simulated backend server: slots, a queue and service times.
type backend struct {
	record    member.Record
	queue     *admit.Queue
	slowdown  float64
	failures  float64
	lies      bool
	coldUntil time.Time
}

// front is a node that sends calls.
type front struct {
	record  member.Record
	chooser Chooser
	budget  *retry.Budget
	view    *member.View
}

type attempt struct {
	work     *work
	front    *front
	start    time.Time
	sent     time.Time
	attempts int
	excluded []string
	server   *backend
}

// tally sums what the callers of one class saw.
type tally struct{ calls, attempts, inTarget, failed, bytes, crossing float64 }

// world is a deterministic discrete-event comparison: servers are queues with
// slots, and every front has a chooser of its own.
type world struct {
	now      time.Time
	end      time.Time
	random   *rand.Rand
	events   events
	sequence int
	servers  map[string]*backend
	fronts   []*front
	tallies  map[string]*tally
}

type occurrence struct {
	at       time.Time
	sequence int
	run      func()
}

type events []occurrence

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(occurrence)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// scenario is one run of the comparison.
type scenario struct {
	algorithm Algorithm
	// load is the offered work in shares of all slots.
	load float64
	// faulty adds one slow, one lying and one cold server; the rotation decides
	// which service has which.
	faulty   bool
	rotation int
	length   time.Duration
	// frontsPerServer is the number of nodes that send calls beside each server.
	frontsPerServer int
}

func newWorld(t testing.TB, s scenario) *world {
	w := &world{
		now: time.Unix(1e9, 0), servers: map[string]*backend{}, tallies: map[string]*tally{},
		random: rand.New(rand.NewPCG(1, uint64(s.rotation))),
	}
	w.end = w.now.Add(s.length)
	for i := range works {
		w.tallies[works[i].target.Service] = &tally{}
		for instance := range works[i].instances {
			w.addServer(&works[i], instance)
		}
	}
	if s.faulty {
		w.addFaults(s.rotation)
	}
	for range max(1, s.frontsPerServer) {
		w.addFronts(t, s.algorithm)
	}
	w.publish()
	for i := range works {
		rate := s.load * float64(works[i].instances*worldSlots) / works[i].service.Seconds()
		w.arrive(&works[i], rate)
	}
	return w
}

func (w *world) addServer(work *work, instance int) {
	domain := domains[instance%len(domains)]
	record := serverRecord(fmt.Sprintf("%s-%d", work.target.Service, instance), domain.region, domain.name, w.now.Add(-time.Hour))
	record.Server.Service = work.target.Service
	record.Server.Slots = worldSlots
	server := &backend{record: record, queue: admit.NewQueue(), slowdown: 1}
	// The server has run for an hour.
	server.queue.Open(record.Server.Since, admit.Capacity{Slots: worldSlots, Connections: 130, ReadySince: record.Server.Since})
	w.servers[record.ID] = server
}

func (w *world) addFaults(rotation int) {
	server := func(service, instance int) *backend {
		return w.servers[fmt.Sprintf("%s-%d", works[(rotation+service)%len(works)].target.Service, instance)]
	}
	server(0, 0).slowdown = 4
	liar := server(1, 1)
	switch rotation {
	case 0: // reports itself idle and fails half of its calls fast
		liar.lies, liar.failures = true, 0.5
	case 1: // reports itself idle and is slow
		liar.lies, liar.slowdown = true, 3
	default: // fails every call fast
		liar.failures = 1
	}
	cold := server(2, 2)
	cold.record.Server.State = member.ServerStarting
	cold.record.Server.Since = w.now
	cold.coldUntil = w.now.Add(coldStart + rampDuration)
	cold.queue.Drain()
	w.after(coldStart, func() {
		cold.record.Server.State = member.ServerReady
		cold.record.Server.Since = w.now
		cold.queue.Open(w.now, admit.Capacity{Slots: worldSlots, Connections: 130, ReadySince: w.now})
		w.publish()
	})
}

func (w *world) addFronts(t testing.TB, algorithm Algorithm) {
	for _, server := range w.sorted() {
		settings := DefaultConfig()
		settings.Algorithm = algorithm
		balancer, err := NewBalancer(settings)
		if err != nil {
			t.Fatal(err)
		}
		w.fronts = append(w.fronts, &front{record: server.record, chooser: balancer, budget: retry.NewBudget()})
	}
}

func (w *world) sorted() []*backend {
	var servers []*backend
	for _, server := range w.servers {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, func(a, b *backend) int { return cmp.Compare(a.record.ID, b.record.ID) })
	return servers
}

// publish gives every front the current view.
func (w *world) publish() {
	var records []member.Record
	for _, server := range w.sorted() {
		records = append(records, server.record)
	}
	for _, front := range w.fronts {
		front.view = member.NewView(front.record, records, nil)
	}
}

func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, occurrence{w.now.Add(delay), w.sequence, run})
}

func (w *world) run() {
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(occurrence)
		w.now = next.at
		next.run()
	}
}

// arrive sends calls of a class from random fronts, with exponential gaps, until
// the end. The calls that are then in flight run to their end.
func (w *world) arrive(work *work, rate float64) {
	if w.now.After(w.end) {
		return
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		w.send(&attempt{work: work, front: w.fronts[w.random.IntN(len(w.fronts))], start: w.now})
		w.arrive(work, rate)
	})
}

func (w *world) tally(a *attempt) *tally {
	if a.start.Before(w.end.Add(-w.measured())) {
		return &tally{}
	}
	return w.tallies[a.work.target.Service]
}

// measured is the part of the run that counts.
func (w *world) measured() time.Duration { return w.end.Sub(time.Unix(1e9, 0)) - worldWarmUp }

func (w *world) send(a *attempt) {
	if a.attempts == 0 {
		a.front.budget.RecordFirstAttempt()
		w.tally(a).calls++
	}
	a.attempts++
	a.sent = w.now
	record, found := a.front.chooser.Choose(a.front.view, nil, Request{
		Target: a.work.target, Now: w.now, Excluded: a.excluded, Random: w.random.Uint64(),
	})
	if !found {
		return
	}
	w.tally(a).attempts++
	a.server = w.servers[record.ID]
	w.after(w.latency(a), func() { w.offer(a) })
}

func (w *world) latency(a *attempt) time.Duration {
	from, to := &a.front.record, &a.server.record
	switch {
	case from.Region != to.Region:
		return 12 * time.Millisecond
	case from.FailureDomain != to.FailureDomain:
		return 1400 * time.Microsecond
	default:
		return 50 * time.Microsecond
	}
}

func (w *world) offer(a *attempt) {
	queue := a.server.queue
	deadline := a.start.Add(a.work.target.Deadline)
	var ticket *admit.Ticket
	ticket, err := queue.Offer(w.now, admit.Request{
		Priority: a.work.target.Priority, Deadline: deadline, Objective: a.start.Add(a.work.target.Latency),
		OnDecision: func(err error) {
			w.after(0, func() { w.decided(a, ticket, err) })
		},
	})
	if err != nil {
		w.refused(a, err)
		return
	}
	if ticket.Running() {
		w.decided(a, ticket, nil)
		return
	}
	w.after(deadline.Sub(w.now), func() {
		if ticket.Waiting() {
			queue.Abandon(w.now, ticket)
			w.refused(a, result.Errorf(result.DeadlineNotRun, "deadline"))
		}
	})
	w.after(50*time.Millisecond, func() { queue.Dispatch(w.now) })
}

func (w *world) decided(a *attempt, ticket *admit.Ticket, err error) {
	if err != nil {
		w.refused(a, err)
		return
	}
	duration, failed := w.serviceTime(a)
	if left := a.start.Add(a.work.target.Deadline).Sub(w.now); duration > left {
		duration, failed = left, true
	}
	w.after(duration, func() {
		load := w.report(a.server)
		a.server.queue.Finish(w.now, ticket)
		w.after(w.latency(a), func() { w.answered(a, failed, load) })
	})
}

func (w *world) serviceTime(a *attempt) (time.Duration, bool) {
	server := a.server
	if server.failures > 0 && w.random.Float64() < server.failures {
		return time.Millisecond, true
	}
	slowdown := server.slowdown
	if left := server.coldUntil.Sub(w.now); left > 0 {
		slowdown += 2 * left.Seconds() / rampDuration.Seconds()
	}
	// The sum of two exponential times has a coefficient of variation of 0.7.
	factor := (w.random.ExpFloat64() + w.random.ExpFloat64()) / 2
	return time.Duration(factor * slowdown * float64(a.work.service)), false
}

func (w *world) report(server *backend) *Load {
	if server.lies {
		return &Load{Slots: worldSlots}
	}
	return &Load{InFlight: server.queue.Running(), Slots: server.queue.Slots(w.now), Queued: server.queue.Waiting()}
}

func (w *world) answered(a *attempt, failed bool, load *Load) {
	a.front.chooser.Observe(a.server.record.ID, w.now, Outcome{
		Priority: a.work.target.Priority, Elapsed: w.now.Sub(a.sent), Failed: failed, Load: load,
	})
	tally := w.tally(a)
	tally.bytes += a.work.bytes
	if a.front.record.Region != a.server.record.Region {
		tally.crossing += a.work.bytes
	}
	if failed {
		tally.failed++
		return
	}
	if w.now.Sub(a.start) <= a.work.target.Latency {
		tally.inTarget++
	}
}

func (w *world) refused(a *attempt, err error) {
	load := w.report(a.server)
	w.after(w.latency(a), func() {
		a.front.chooser.Observe(a.server.record.ID, w.now, Outcome{
			Priority: a.work.target.Priority, Elapsed: w.now.Sub(a.sent), Refused: true, Load: load,
		})
		if a.front.budget.Allow(retry.Failure{
			Code: result.CodeOf(err), Run: result.NotRun, Idempotent: a.work.target.Idempotent,
			Attempts: a.attempts, Remaining: a.start.Add(a.work.target.Deadline).Sub(w.now),
		}) {
			a.excluded = append(a.excluded, a.server.record.ID)
			w.send(a)
		}
	})
}

// figures are the results of one or more runs in percent.
type figures struct {
	// inTarget is by class, in the order of works.
	inTarget      [3]float64
	goodput       [3]float64
	crossing      float64
	amplification float64
}

func (w *world) figures() figures {
	var f figures
	var sum tally
	for i := range works {
		tally := w.tallies[works[i].target.Service]
		f.inTarget[i] = 100 * tally.inTarget / tally.calls
		capacity := float64(works[i].instances*worldSlots) * w.measured().Seconds() / works[i].service.Seconds()
		f.goodput[i] = 100 * tally.inTarget / capacity
		sum.calls += tally.calls
		sum.attempts += tally.attempts
		sum.bytes += tally.bytes
		sum.crossing += tally.crossing
	}
	f.crossing = 100 * sum.crossing / sum.bytes
	f.amplification = sum.attempts / sum.calls
	return f
}
