package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

// The tests in this file play the nodes of a fleet without a network: each reports to the
// leader of its failure domain every Interval, the leaders to the root.

// Bound of the deployments: rate and burst in a window, times 1.1, plus 20.
const (
	boundOverage = 1.1
	boundSlack   = 20
)

// fleetLoad describes who sends how much, and what fails when.
type fleetLoad struct {
	nodes, domains int
	// limits are the rate limits, of which the burst is a second's worth, and demand the
	// requests a second of each workspace over all nodes at a time.
	limits []float64
	demand func(workspace int, at time.Duration) float64
	// weight is the relative part of a node in the demand; nil for equal parts.
	weight func(node int, at time.Duration) float64
	// disconnected tells whether a node reaches no other one.
	disconnected func(node int, at time.Duration) bool
	// restarts tells whether the process of a node begins at this step.
	restarts func(node int, at time.Duration) bool
	// root returns the number of the domain whose leader serves the fleet, as the leader of
	// a domain sees it; nil for 0 always.
	root     func(domain int, at time.Duration) int
	duration time.Duration
}

// fleetOutcome counts what happened to a workspace.
type fleetOutcome struct {
	asked, accepted, owed int
	acceptedAt            []time.Duration
}

type simulatedNode struct {
	limiter    *Limiter
	aggregator *Aggregator
	allocator  *Allocator
	phase      time.Duration
}

const simulationStep = 10 * time.Millisecond

func (l fleetLoad) play(seed uint64) []fleetOutcome {
	random := rand.New(rand.NewPCG(seed, 1))
	config := DefaultConfig()
	newNode := func(i int) *simulatedNode {
		return &simulatedNode{
			limiter: NewLimiter(config, random.Float64), aggregator: NewAggregator(config, fmt.Sprint(i, "/", random.Uint64())),
			allocator: NewAllocator(config), phase: time.Duration(random.Int64N(int64(config.Interval/simulationStep))) * simulationStep,
		}
	}
	nodes := make([]*simulatedNode, l.nodes)
	for i := range nodes {
		nodes[i] = newNode(i)
	}
	workspaces := make([]*routing.Workspace, len(l.limits))
	for i, limit := range l.limits {
		workspaces[i] = &routing.Workspace{Name: fmt.Sprint(i), RatePerSecond: limit, Burst: limit}
	}
	find := func(name string) (*routing.Workspace, bool) {
		for _, w := range workspaces {
			if w.Name == name {
				return w, true
			}
		}
		return nil, false
	}
	outcomes := make([]fleetOutcome, len(workspaces))
	tokens := slices.Clone(l.limits)
	// Traffic starts two seconds after the nodes.
	const start = 2 * time.Second
	for now := time.Duration(0); now < start+l.duration; now += simulationStep {
		at := now - start
		for i, n := range nodes {
			if l.restarts != nil && l.restarts(i, at) {
				nodes[i] = newNode(i)
				n = nodes[i]
			}
			if now%config.Interval != n.phase {
				continue
			}
			domain := i % l.domains
			n.aggregator.AddLocal(n.limiter.Take(now))
			if l.disconnected != nil && l.disconnected(i, at) {
				continue
			}
			leader := nodes[domain]
			if i >= l.domains {
				if l.disconnected != nil && l.disconnected(domain, at) {
					continue
				}
				leader.aggregator.Add(now, n.aggregator.Take(now))
				verdict, age := leader.aggregator.Verdict(now)
				n.limiter.Apply(verdict, now-age)
				continue
			}
			root := 0
			if l.root != nil {
				root = l.root(domain, at)
			}
			if l.disconnected != nil && root != domain && l.disconnected(root, at) {
				continue
			}
			verdict := nodes[root].allocator.Report(now, n.aggregator.Take(now), l.nodes, find)
			n.limiter.Apply(verdict, now)
			n.aggregator.Apply(verdict, now)
		}
		if at < 0 {
			continue
		}
		for w, workspace := range workspaces {
			tokens[w] = min(l.limits[w], tokens[w]+l.limits[w]*simulationStep.Seconds())
			for range poisson(random, l.demand(w, at)*simulationStep.Seconds()) {
				node := l.pickNode(random, at)
				outcomes[w].asked++
				owed := tokens[w] >= 1
				if owed {
					tokens[w]--
					outcomes[w].owed++
				}
				if accepted, _ := nodes[node].limiter.Admit(now, workspace, l.nodes); accepted {
					outcomes[w].accepted++
					outcomes[w].acceptedAt = append(outcomes[w].acceptedAt, at)
				}
			}
		}
	}
	return outcomes
}

func (l fleetLoad) pickNode(random *rand.Rand, at time.Duration) int {
	if l.weight == nil {
		return random.IntN(l.nodes)
	}
	for {
		if i := random.IntN(l.nodes); random.Float64() < l.weight(i, at) {
			return i
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n, limit := 0, math.Exp(-mean)
	for p := random.Float64(); p > limit; p *= random.Float64() {
		n++
	}
	return n
}

// excess returns by how many requests the fullest window exceeds the bound of a workspace;
// 0 or less when it holds.
func (o fleetOutcome) excess(limit float64, window time.Duration) float64 {
	bound := (limit*window.Seconds()+limit)*boundOverage + boundSlack
	most, first := 0, 0
	for i, at := range o.acceptedAt {
		for o.acceptedAt[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) - bound
}

// sheetLimits returns the limits of 86 workspaces, a few of them large.
func sheetLimits() []float64 {
	limits := make([]float64, 86)
	for i := range limits {
		limits[i] = max(5, 551/math.Pow(float64(i+1), 1.2))
	}
	return limits
}

// usual is the demand of workspaces that use five eighths of their limits.
func usual(limits []float64) func(int, time.Duration) float64 {
	return func(w int, _ time.Duration) float64 { return limits[w] / 1.6 }
}

func hot(limits []float64, factor float64, hotOnes ...int) func(int, time.Duration) float64 {
	return func(w int, at time.Duration) float64 {
		if slices.Contains(hotOnes, w) && at > 5*time.Second && at < 15*time.Second {
			return limits[w] / 1.6 * factor
		}
		return limits[w] / 1.6
	}
}

func from(begin, end time.Duration, some func(node int) bool) func(int, time.Duration) bool {
	return func(node int, at time.Duration) bool { return at >= begin && at < end && some(node) }
}

// TestFleetKeepsRateLimits guards against windows in which all nodes together accept more
// than a workspace's limit allows, and against requests within the limit that are refused,
// for the loads that the names tell.
func TestFleetKeepsRateLimits(t *testing.T) {
	limits := sheetLimits()
	sparse := []int{60}
	for name, c := range map[string]struct {
		load fleetLoad
		// minServed is the share of the requests within the limit that must be accepted.
		minServed float64
	}{
		"usual demand of few large and many small workspaces": {fleetLoad{demand: usual(limits)}, 0.95},
		"the largest workspace sends 7.5 times its usual":     {fleetLoad{demand: hot(limits, 7.5, 0)}, 0.95},
		"a small workspace sends 7.5 times its usual":         {fleetLoad{demand: hot(limits, 7.5, sparse...)}, 0.95},
		"three workspaces send 20 times their usual":          {fleetLoad{demand: hot(limits, 20, 0, 3, 60)}, 0.9},
		"all send 1.7 times their usual": {fleetLoad{demand: func(w int, at time.Duration) float64 {
			return usual(limits)(w, at) * 1.7
		}}, 0.95},
		"hot demand that moves between regions": {fleetLoad{demand: hot(limits, 7.5, 0), weight: func(node int, at time.Duration) float64 {
			if (node%4 < 2) == (at/(2*time.Second)%2 == 0) {
				return 1
			}
			return 0.1
		}}, 0.95},
		"a sixth of the nodes cut off, hot": {fleetLoad{demand: hot(limits, 7.5, 0), disconnected: from(6*time.Second, 12*time.Second, func(n int) bool { return n > 4 && n%6 == 0 })}, 0.7},
		"a region cut off, hot":             {fleetLoad{demand: hot(limits, 7.5, 0, 60), disconnected: from(6*time.Second, 12*time.Second, func(n int) bool { return n%4 >= 2 })}, 0.4},
		"all cut off from each other, hot":  {fleetLoad{demand: hot(limits, 7.5, 0, 60), disconnected: from(4*time.Second, 14*time.Second, func(int) bool { return true })}, 0},
		"root cut off, another takes over": {fleetLoad{demand: hot(limits, 7.5, 0), disconnected: from(8*time.Second, 12*time.Second, func(n int) bool { return n == 0 }),
			root: func(domain int, at time.Duration) int {
				if at > 8300*time.Millisecond && at < 12*time.Second && domain != 0 {
					return 1
				}
				return 0
			}}, 0.5},
		"two roots, hot": {fleetLoad{demand: hot(limits, 7.5, 0), root: func(domain int, at time.Duration) int {
			if at > 6*time.Second && at < 12*time.Second {
				return domain / 2 * 2
			}
			return 0
		}}, 0.9},
		"all nodes restart together":              {fleetLoad{demand: usual(limits), restarts: func(_ int, at time.Duration) bool { return at == 8*time.Second }}, 0.95},
		"all nodes restart together, hot":         {fleetLoad{demand: hot(limits, 7.5, 0, 60), restarts: func(_ int, at time.Duration) bool { return at == 8*time.Second }}, 0.8},
		"half of the nodes restart together, hot": {fleetLoad{demand: hot(limits, 7.5, 0, 60), restarts: func(n int, at time.Duration) bool { return at == 8*time.Second && n%2 == 0 }}, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				load := c.load
				load.nodes, load.domains, load.limits, load.duration = 88, 4, limits, 20*time.Second
				asked, owed, served := 0, 0, 0
				for w, o := range load.play(seed) {
					if excess := o.excess(limits[w], DefaultConfig().Window); excess > 0 {
						t.Errorf("seed %d: workspace %d with a limit of %.0f exceeds the bound of a window by %.0f", seed, w, limits[w], excess)
					}
					asked, owed, served = asked+o.asked, owed+o.owed, served+min(o.accepted, o.owed)
				}
				if share := float64(served) / float64(owed); share < c.minServed {
					t.Errorf("seed %d: %.3f of %d requests within the limits accepted (%d asked), want %.2f", seed, share, owed, asked, c.minServed)
				}
			}
		})
	}
}
