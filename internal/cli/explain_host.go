package cli

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

const (
	// hostEventLimit is the number of events shown for a host.
	hostEventLimit = 20
	// hostVersionsShown is the number of versions shown among them.
	hostVersionsShown = 3
	// hostEventsAsked is the number of events read to find them.
	hostEventsAsked = 1000
)

// HostExplanation is the output of explain host.
type HostExplanation struct {
	Report operator.HostReport `json:"report"`
	// Accepted is the version that the host should have in force.
	Accepted uint64 `json:"accepted"`
	// Laggard says why the host does not have it; nil when it has, or when the
	// status of the fleet does not cover the host.
	Laggard *operator.Laggard `json:"laggard,omitempty"`
	Events  []Observation     `json:"events"`
	// Unreachable names hosts whose events are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

func (c *command) explainHost(ctx context.Context) error {
	explanation, err := c.collectHost(ctx, c.args.Explain.Host.Name)
	if err != nil {
		return err
	}
	return c.print(explanation, func() { c.printHost(explanation) })
}

func (c *command) collectHost(ctx context.Context, name string) (HostExplanation, error) {
	report, err := ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.HostReport, error) {
		return client.Host(ctx, name)
	})
	if err != nil {
		return HostExplanation{}, err
	}
	status, err := c.askStatus(ctx)
	if err != nil {
		return HostExplanation{}, err
	}
	explanation := HostExplanation{Report: report, Accepted: status.Accepted, Laggard: laggardOf(status, name)}
	return explanation, c.collectHostEvents(ctx, &explanation)
}

// collectHostEvents joins what the host recorded of itself and what others
// recorded of it.
func (c *command) collectHostEvents(ctx context.Context, explanation *HostExplanation) error {
	name := explanation.Report.Host
	own, err := c.askEvents(ctx, operator.EventQuery{Host: name, Limit: hostEventsAsked})
	if err != nil {
		return err
	}
	others, err := c.askEvents(ctx, operator.EventQuery{Subject: name, Fleet: true, Limit: hostEventsAsked})
	if err != nil {
		return err
	}
	events := newestVersions(slices.DeleteFunc(own.Events, func(e event.Event) bool { return !ownState(e, name) }))
	events = append(events, slices.DeleteFunc(others.Events, func(e event.Event) bool { return e.Node == name })...)
	refusals, err := c.refusalsOf(ctx, explanation)
	if err != nil {
		return err
	}
	events = append(events, refusals...)
	slices.SortStableFunc(events, func(a, b event.Event) int { return b.At.Compare(a.At) })
	observations := condense(events)
	explanation.Events = observations[:min(len(observations), hostEventLimit)]
	explanation.Unreachable = others.Unreachable
	return nil
}

// refusalsOf returns what other hosts recorded of refusing the accepted version.
// Only hosts that read the store meet a version that is not valid, so the host that
// lacks it may not know why.
func (c *command) refusalsOf(ctx context.Context, explanation *HostExplanation) ([]event.Event, error) {
	if explanation.Report.Version >= explanation.Accepted {
		return nil, nil
	}
	version := strconv.FormatUint(explanation.Accepted, 10)
	reply, err := c.askEvents(ctx, operator.EventQuery{Kind: event.KindConfig, Subject: version, Fleet: true, Limit: hostEventsAsked})
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(reply.Events, func(e event.Event) bool {
		return e.Code == result.OK || e.Node == explanation.Report.Host
	}), nil
}

// ownState reports whether an event that the host recorded concerns the host
// itself, not its view of another node or a refused call.
func ownState(e event.Event, host string) bool {
	switch e.Kind {
	case event.KindMembership, event.KindServer:
		return e.Subject == host
	case event.KindRefusal:
		return false
	default:
		return true
	}
}

// newestVersions leaves out all but the newest versions that took effect, which
// would displace everything else.
func newestVersions(events []event.Event) []event.Event {
	versions := 0
	return slices.DeleteFunc(events, func(e event.Event) bool {
		if e.Kind != event.KindConfig || e.Code != result.OK {
			return false
		}
		versions++
		return versions > hostVersionsShown
	})
}

func laggardOf(status operator.FleetStatus, host string) *operator.Laggard {
	for _, laggard := range status.Laggards {
		if laggard.Host == host {
			return &laggard
		}
	}
	return nil
}

func (c *command) printHost(explanation HostExplanation) {
	report := explanation.Report
	if report.Unreachable != "" {
		c.line("%s in %s (%s) is %s and does not answer: %s", report.Host, report.FailureDomain, report.Region, report.State, report.Unreachable)
	} else {
		c.line("%s in %s (%s) is %s, a %s of the distribution, and has version %d in force; version %d is accepted",
			report.Host, report.FailureDomain, report.Region, report.State, report.Role, report.Version, explanation.Accepted)
	}
	if laggard := explanation.Laggard; laggard != nil {
		c.line("it lags at version %d for %s: %s", laggard.Version, laggard.Age.Round(time.Millisecond), laggard.Reason)
	}
	if report.Unreachable == "" {
		c.printHostWork(report)
	}
	c.printObservations(explanation.Events)
	if text := unasked(explanation.Unreachable); text != "" {
		c.line("%s", text)
	}
}

// printHostWork says what the host does and what keeps it from work.
func (c *command) printHostWork(report operator.HostReport) {
	if report.Parent != "" {
		c.line("its configuration comes from %s", report.Parent)
	}
	if !report.Ready {
		c.line("it refuses calls: %s", report.ReadyReason)
	}
	if report.Rejection != nil {
		c.line("it rejected version %d: %s", report.Rejection.Version, report.Rejection.Reason)
	}
	if report.Service == "" {
		c.line("no backend server has announced itself")
	} else {
		c.line("backend server of %s is %s: %d of %d slots in use, %d calls queued", report.Service, report.Server, report.InFlight, report.Slots, report.Queued)
	}
	c.line("it carries %d calls and knows %d hosts, %d of them suspect", report.Calls, report.Members, report.Suspects)
	if len(report.Quarantined) > 0 {
		c.line("quarantined calls: %s", strings.Join(report.Quarantined, ", "))
	}
}
