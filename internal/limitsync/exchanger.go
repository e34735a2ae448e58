package limitsync

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rosemaryladder.dev/rosemaryladder/internal/fleet"
	"rosemaryladder.dev/rosemaryladder/internal/ratelimit"
	"rosemaryladder.dev/rosemaryladder/internal/registry"
	"rosemaryladder.dev/rosemaryladder/internal/routing"
)

const (
	// answerTimeout bounds one exchange: several round trips between regions.
	answerTimeout = 300 * time.Millisecond
	// idleInterval is the time between two checks whether the configuration has rate limits.
	idleInterval = time.Second
	// cooldown is how long a node that did not respond is left out.
	cooldown = time.Second
	// maxTimeouts is the number of exchanges in a row that time out before a node is left
	// out. One that is late, as with a lost packet, would otherwise have the fleet report to
	// two nodes at once. Both take less than StaleAfter.
	maxTimeouts = 2
)

// Deps are the dependencies of an Exchanger. All of them are required.
type Deps struct {
	Limiter *ratelimit.Limiter
	Routes  *routing.Holder
	View    func() *fleet.View
	// Local is the node in the fleet, and Regions maps failure domains to regions.
	Local   fleet.Entry
	Regions map[string]string
	// RunID identifies this process.
	RunID  string
	Client *http.Client
	Log    *logrus.Entry
	Scope  tally.Scope
	// Now returns the time on a clock that counts suspensions.
	Now func() time.Duration
}

// Exchanger reports the usage of the local node, and passes on or answers the reports of
// others. It is safe for concurrent use.
type Exchanger struct {
	config     ratelimit.Config
	deps       Deps
	aggregator *ratelimit.Aggregator
	allocator  *ratelimit.Allocator
	limited    limitedLog
	failures   tally.Counter
	// cooldownUntil, timeouts and the targets of the view belong to Run.
	cooldownUntil map[string]time.Duration
	timeouts      map[string]int
	view          *fleet.View
	leaders       []fleet.Entry
	roots         []fleet.Entry
}

// New returns an exchanger that has exchanged nothing.
func New(config ratelimit.Config, deps Deps) *Exchanger {
	scope := deps.Scope.SubScope("ratelimit")
	return &Exchanger{
		config: config, deps: deps, cooldownUntil: make(map[string]time.Duration), timeouts: make(map[string]int), failures: scope.Counter("report_failures"),
		aggregator: ratelimit.NewAggregator(config, deps.Local.Node+"/"+deps.RunID), allocator: ratelimit.NewAllocator(config),
		limited: limitedLog{log: deps.Log, limited: scope.Gauge("limited_workspaces")},
	}
}

// Run reports until the context ends. While the configuration has no rate limits, it does
// nothing.
func (e *Exchanger) Run(ctx context.Context) {
	timer := time.NewTimer(e.config.Interval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		wait := idleInterval
		if table := e.deps.Routes.Load(); table != nil && table.HasRateLimits() {
			e.exchange(ctx)
			wait = e.config.Interval
		}
		timer.Reset(wait)
	}
}

// exchange reports once and applies the verdict.
func (e *Exchanger) exchange(ctx context.Context) {
	now := e.deps.Now()
	e.updateTargets()
	e.aggregator.AddLocal(e.deps.Limiter.Take(now))
	isLeader := len(e.leaders) > 0 && e.leaders[0].Node == e.deps.Local.Node || e.aggregator.HasSources(now)
	targets := e.leaders
	if isLeader {
		targets = e.roots
	}
	target, found := e.pickTarget(now, targets)
	if !found {
		return
	}
	report := e.aggregator.Take(now)
	if target.Node == e.deps.Local.Node {
		e.apply(e.allocate(now, report), now)
		return
	}
	response, err := e.send(ctx, target, question{Total: isLeader, Report: report})
	if err != nil {
		e.failures.Inc(1)
		e.aggregator.Restore(report)
		e.recordFailure(now, target.Node, err)
		e.deps.Log.WithError(err).WithField("peer", target.Node).Debug("usage of workspaces could not be reported")
		return
	}
	delete(e.timeouts, target.Node)
	// The verdict was true before the question was sent, or after: the earlier one counts.
	e.apply(response.Verdict, now-max(time.Duration(response.AgeMs)*time.Millisecond, 0))
}

// recordFailure leaves a node out for a while that refused an exchange, or let several time
// out in a row.
func (e *Exchanger) recordFailure(now time.Duration, node string, err error) {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		if e.timeouts[node]++; e.timeouts[node] < maxTimeouts {
			return
		}
	}
	// The count stays until the node responds: after the cooldown, one timeout is enough.
	e.cooldownUntil[node] = now + cooldown
}

func (e *Exchanger) apply(verdict ratelimit.Verdict, at time.Duration) {
	e.deps.Limiter.Apply(verdict, at)
	e.aggregator.Apply(verdict, at)
}

// allocate counts a report for the whole fleet.
func (e *Exchanger) allocate(now time.Duration, report ratelimit.Report) ratelimit.Verdict {
	table := e.deps.Routes.Load()
	if table == nil {
		return ratelimit.Verdict{}
	}
	verdict := e.allocator.Report(now, report, e.deps.View().Len(), table.WorkspaceByName)
	e.limited.update(verdict)
	return verdict
}

// updateTargets finds the nodes to report to after a change of the fleet.
func (e *Exchanger) updateTargets() {
	view := e.deps.View()
	if view == e.view {
		return
	}
	e.view = view
	e.leaders = registry.Leaders(view.Entries(), e.deps.Local.Domain)
	e.roots = registry.Roots(view.Entries(), e.deps.Regions)
	isGone := func(node string) bool { return !view.Contains(node) }
	maps.DeleteFunc(e.cooldownUntil, func(node string, _ time.Duration) bool { return isGone(node) })
	maps.DeleteFunc(e.timeouts, func(node string, _ int) bool { return isGone(node) })
}

// pickTarget returns the first node that is not in cooldown.
func (e *Exchanger) pickTarget(now time.Duration, targets []fleet.Entry) (fleet.Entry, bool) {
	i := slices.IndexFunc(targets, func(t fleet.Entry) bool { return e.cooldownUntil[t.Node] <= now })
	if i < 0 {
		return fleet.Entry{}, false
	}
	return targets[i], true
}
