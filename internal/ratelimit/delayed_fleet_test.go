package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// The bounds of the exchange between nodes, as package limitsync has them.
const (
	exchangeTimeout  = 300 * time.Millisecond
	exchangeCooldown = time.Second
	maxTimeouts      = 2
)

// delayedNode is a node whose messages are late, lost or doubled, and which freezes.
type delayedNode struct {
	limiter     *Limiter
	aggregator  *Aggregator
	allocator   *Allocator
	next        time.Duration
	frozenUntil time.Duration
	cooldown    map[int]time.Duration
	timeouts    map[int]int
	// pending is the exchange that waits for its response; nil for none.
	pending *delayedExchange
}

type delayedExchange struct {
	target int
	report Report
	sentAt time.Duration
}

// delayedMessage is handled by a node at its time, or when the node wakes.
type delayedMessage struct {
	at     time.Duration
	node   int
	handle func(now time.Duration)
}

// delayedFleet plays a fleet under random disturbances of a seed.
type delayedFleet struct {
	random     *rand.Rand
	config     Config
	nodes      []*delayedNode
	domains    int
	workspaces []*routing.Workspace
	messages   []delayedMessage
	// maxDelay, lost and doubled describe the network. freezes and restarts are those of a
	// second over all nodes, and viewsDiffer are the times a second at which a third of the
	// nodes begins to take other nodes for its leaders and the root.
	maxDelay          time.Duration
	lost, doubled     float64
	freezes, restarts float64
	viewsDiffer       float64
	otherViewUntil    time.Duration
	// disturbedFrom and endsAt bound the time of the freezes, restarts and differing views.
	disturbedFrom, endsAt time.Duration
}

func (f *delayedFleet) newNode() *delayedNode {
	return &delayedNode{
		limiter: NewLimiter(f.config, f.random.Float64), aggregator: NewAggregator(f.config, fmt.Sprint(f.random.Uint64())),
		allocator: NewAllocator(f.config), cooldown: make(map[int]time.Duration), timeouts: make(map[int]int), next: time.Duration(f.random.Int64N(int64(f.config.Interval))),
	}
}

func (f *delayedFleet) workspace(name string) (*routing.Workspace, bool) {
	for _, w := range f.workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return nil, false
}

// send has a message handled after a random delay, at most twice.
func (f *delayedFleet) send(now time.Duration, node int, handle func(now time.Duration)) {
	copies := 1
	switch chance := f.random.Float64(); {
	case chance < f.lost:
		copies = 0
	case chance < f.lost+f.doubled:
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(f.random.Int64N(int64(f.maxDelay)))
		f.messages = append(f.messages, delayedMessage{now + delay, node, handle})
	}
}

// exchange reports the usage of a node, as limitsync.Exchanger does.
func (f *delayedFleet) exchange(now time.Duration, i int) {
	n := f.nodes[i]
	n.aggregator.AddLocal(n.limiter.Take(now))
	domain, other := i%f.domains, 0
	if now < f.otherViewUntil && i%3 == 0 {
		other = 1
	}
	leaders := []int{domain + other*f.domains, domain + (1-other)*f.domains}
	isLeader := leaders[0] == i || n.aggregator.HasSources(now)
	targets := leaders
	if isLeader {
		targets = nil
		for d := range f.domains {
			targets = append(targets, (d+other)%f.domains)
		}
	}
	target := -1
	for _, t := range targets {
		if n.cooldown[t] <= now {
			target = t
			break
		}
	}
	if target < 0 {
		return
	}
	report := n.aggregator.Take(now)
	if target == i {
		verdict := n.allocator.Report(now, report, len(f.nodes), f.workspace)
		n.limiter.Apply(verdict, now)
		n.aggregator.Apply(verdict, now)
		return
	}
	pending := &delayedExchange{target, report, now}
	n.pending = pending
	f.send(now, target, func(arrived time.Duration) {
		receiver := f.nodes[target]
		var verdict Verdict
		var age time.Duration
		if isLeader {
			verdict = receiver.allocator.Report(arrived, report, len(f.nodes), f.workspace)
		} else {
			receiver.aggregator.Add(arrived, report)
			verdict, age = receiver.aggregator.Verdict(arrived)
			age += time.Millisecond
		}
		f.send(arrived, i, func(time.Duration) {
			if n.pending != pending {
				return
			}
			n.pending, n.timeouts[target] = nil, 0
			n.limiter.Apply(verdict, pending.sentAt-max(age, 0))
			n.aggregator.Apply(verdict, pending.sentAt-max(age, 0))
		})
	})
}

// step handles what is due at a time.
func (f *delayedFleet) step(now time.Duration) {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		if m.at > now || f.nodes[m.node].frozenUntil > now {
			f.messages = append(f.messages, m)
		} else {
			m.handle(now)
		}
	}
	for i, n := range f.nodes {
		if n.frozenUntil > now {
			continue
		}
		if p := n.pending; p != nil && now-p.sentAt > exchangeTimeout {
			n.aggregator.Restore(p.report)
			if n.timeouts[p.target]++; n.timeouts[p.target] >= maxTimeouts {
				n.cooldown[p.target] = p.sentAt + exchangeCooldown
			}
			n.pending, n.next = nil, now+f.config.Interval
		}
		if n.pending == nil && now >= n.next {
			n.next = now + f.config.Interval
			f.exchange(now, i)
		}
	}
	if now < f.disturbedFrom || now > f.endsAt {
		return
	}
	perStep := simulationStep.Seconds()
	for f.random.Float64() < f.freezes*perStep {
		// Leaders and the root are as likely to freeze as all others together.
		i := f.random.IntN(len(f.nodes))
		if f.random.IntN(2) == 0 {
			i = f.random.IntN(2 * f.domains)
		}
		f.nodes[i].frozenUntil = now + time.Duration(f.random.Int64N(int64(5*time.Second)))
	}
	for f.random.Float64() < f.restarts*perStep {
		f.nodes[f.random.IntN(len(f.nodes))] = f.newNode()
	}
	if now >= f.otherViewUntil && f.random.Float64() < f.viewsDiffer*perStep {
		f.otherViewUntil = now + time.Duration(f.random.Int64N(int64(3*time.Second)))
	}
}

// play sends the demand of each workspace, in requests a second, and returns the outcomes.
func (f *delayedFleet) play(duration time.Duration, demand func(workspace int, at time.Duration) float64) []fleetOutcome {
	outcomes := make([]fleetOutcome, len(f.workspaces))
	tokens := make([]float64, len(f.workspaces))
	const start = 2 * time.Second
	for now := time.Duration(0); now < start+duration; now += simulationStep {
		at := now - start
		f.step(now)
		if at < 0 {
			continue
		}
		for w, workspace := range f.workspaces {
			l := workspace.RatePerSecond
			tokens[w] = min(l, tokens[w]+l*simulationStep.Seconds())
			for range poisson(f.random, demand(w, at)*simulationStep.Seconds()) {
				node := f.nodes[f.random.IntN(len(f.nodes))]
				if node.frozenUntil > now {
					continue
				}
				outcomes[w].asked++
				if tokens[w] >= 1 {
					tokens[w]--
					outcomes[w].owed++
				}
				if accepted, _ := node.limiter.Admit(now, workspace, len(f.nodes)); accepted {
					outcomes[w].accepted++
					outcomes[w].acceptedAt = append(outcomes[w].acceptedAt, at)
				}
			}
		}
	}
	return outcomes
}

// delayedSeeds is the number of seeds that each disturbance is played with.
var delayedSeeds = flag.Uint64("delayed-seeds", 2, "seeds for each disturbance of a delayed fleet")

// expectDelayedFleetKeepsLimits plays 88 nodes, two of whose workspaces send 7.5 times their
// usual, under a disturbance. It checks each window of the rule.
func expectDelayedFleetKeepsLimits(t *testing.T, disturb func(*delayedFleet)) {
	limits := []float64{551, 240, 60, 20, 5}
	for seed := range *delayedSeeds {
		f := &delayedFleet{
			random: rand.New(rand.NewPCG(seed, 2)), config: DefaultConfig(), domains: 4, maxDelay: 20 * time.Millisecond,
			disturbedFrom: 3 * time.Second, endsAt: 18 * time.Second,
		}
		for w, limit := range limits {
			f.workspaces = append(f.workspaces, &routing.Workspace{Name: fmt.Sprint(w), RatePerSecond: limit, Burst: limit})
		}
		disturb(f)
		for range 88 {
			f.nodes = append(f.nodes, f.newNode())
		}
		owed, served := 0, 0
		for w, o := range f.play(20*time.Second, hot(limits, 7.5, 0, 3)) {
			if excess := o.excess(limits[w], f.config.Window); excess > 0 {
				t.Errorf("seed %d: workspace %d with a limit of %.0f exceeds the bound of a window by %.0f", seed, w, limits[w], excess)
			}
			owed, served = owed+o.owed, served+min(o.accepted, o.owed)
		}
		t.Logf("seed %d: %.3f of %d requests within the limits accepted", seed, float64(served)/float64(owed), owed)
	}
}

// TestDelayedFleetKeepsRateLimits guards against windows in which all nodes together accept
// more than a workspace's limit allows, while reports and verdicts are late, lost or
// doubled, and nodes freeze and restart.
func TestDelayedFleetKeepsRateLimits(t *testing.T) {
	for name, disturb := range map[string]func(*delayedFleet){
		"calm":                  func(*delayedFleet) {},
		"messages late":         func(f *delayedFleet) { f.maxDelay = 400 * time.Millisecond },
		"few messages lost":     func(f *delayedFleet) { f.lost = 0.03 },
		"a third of them lost":  func(f *delayedFleet) { f.lost = 0.3 },
		"messages doubled":      func(f *delayedFleet) { f.maxDelay, f.doubled = 100*time.Millisecond, 0.5 },
		"nodes freeze":          func(f *delayedFleet) { f.freezes = 2 },
		"restarts in series":    func(f *delayedFleet) { f.restarts = 5 },
		"late, lost and frozen": func(f *delayedFleet) { f.maxDelay, f.lost, f.freezes = 200*time.Millisecond, 0.1, 1 },
		"all but views, at once": func(f *delayedFleet) {
			f.maxDelay, f.lost, f.doubled, f.freezes, f.restarts = 400*time.Millisecond, 0.1, 0.1, 1, 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expectDelayedFleetKeepsLimits(t, disturb)
		})
	}
}

// TestDifferingViewsKeepRateLimits guards against the same while a third of the nodes takes
// other nodes for its leaders and the root.
func TestDifferingViewsKeepRateLimits(t *testing.T) {
	expectDelayedFleetKeepsLimits(t, func(f *delayedFleet) { f.viewsDiffer = 0.5 })
}
