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
	// hostEventLimit is the maximum number of events shown for a host.
	hostEventLimit = 20
	// hostVersionLimit is the maximum number of versions among the events shown.
	hostVersionLimit = 3
	// hostEventQueryLimit is the maximum number of events that one query reads to
	// select the events shown.
	hostEventQueryLimit = 1000
)

// HostExplanation is the output of explain host.
type HostExplanation struct {
	Report operator.HostReport `json:"report"`
	// Accepted is the version that the host should have in force.
	Accepted uint64 `json:"accepted"`
	// Laggard is the entry of the host among the laggards of the fleet; nil when the
	// host is no laggard, or when the status of the fleet does not cover it.
	Laggard *operator.Laggard `json:"laggard,omitempty"`
	Events  []Observation     `json:"events"`
	// Unreachable lists hosts whose events are missing.
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
	report, err := queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (operator.HostReport, error) {
		return client.Host(ctx, name)
	})
	if err != nil {
		return HostExplanation{}, err
	}
	status, err := c.fetchStatus(ctx)
	if err != nil {
		return HostExplanation{}, err
	}
	explanation := HostExplanation{Report: report, Accepted: status.Accepted, Laggard: findLaggard(status, name)}
	err = c.collectHostEvents(ctx, &explanation)
	return explanation, err
}

// collectHostEvents merges the events that the host recorded about itself and
// those that other hosts recorded about it.
func (c *command) collectHostEvents(ctx context.Context, explanation *HostExplanation) error {
	name := explanation.Report.Host
	hostEvents, err := c.fetchEvents(ctx, operator.EventQuery{Host: name, Limit: hostEventQueryLimit})
	if err != nil {
		return err
	}
	otherEvents, err := c.fetchEvents(ctx, operator.EventQuery{Subject: name, Fleet: true, Limit: hostEventQueryLimit})
	if err != nil {
		return err
	}
	events := dropOlderVersions(slices.DeleteFunc(hostEvents.Events, func(e event.Event) bool { return !concernsHost(e, name) }))
	events = append(events, slices.DeleteFunc(otherEvents.Events, func(e event.Event) bool { return e.Node == name })...)
	rejections, err := c.rejectionsByOthers(ctx, explanation)
	if err != nil {
		return err
	}
	events = append(events, rejections...)
	slices.SortStableFunc(events, func(a, b event.Event) int { return b.At.Compare(a.At) })
	observations := groupEvents(events)
	explanation.Events = observations[:min(len(observations), hostEventLimit)]
	explanation.Unreachable = otherEvents.Unreachable
	return nil
}

// rejectionsByOthers returns the events of other hosts that rejected the accepted
// version. Only hosts that read the store encounter an invalid version, so the
// host that lacks it may have no event that states the reason.
func (c *command) rejectionsByOthers(ctx context.Context, explanation *HostExplanation) ([]event.Event, error) {
	if explanation.Report.Version >= explanation.Accepted {
		return nil, nil
	}
	version := strconv.FormatUint(explanation.Accepted, 10)
	response, err := c.fetchEvents(ctx, operator.EventQuery{Kind: event.KindConfig, Subject: version, Fleet: true, Limit: hostEventQueryLimit})
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(response.Events, func(e event.Event) bool {
		return e.Code == result.OK || e.Node == explanation.Report.Host
	}), nil
}

// concernsHost reports whether an event that the host recorded concerns the host
// itself rather than another node or a refused call.
func concernsHost(e event.Event, host string) bool {
	switch e.Kind {
	case event.KindMembership, event.KindServer:
		return e.Subject == host
	case event.KindRefusal:
		return false
	default:
		return true
	}
}

// dropOlderVersions removes the events of all but the newest versions that took
// effect, which would displace all other events.
func dropOlderVersions(events []event.Event) []event.Event {
	versions := 0
	return slices.DeleteFunc(events, func(e event.Event) bool {
		if e.Kind != event.KindConfig || e.Code != result.OK {
			return false
		}
		versions++
		return versions > hostVersionLimit
	})
}

func findLaggard(status operator.FleetStatus, host string) *operator.Laggard {
	for _, laggard := range status.Laggards {
		if laggard.Host == host {
			return &laggard
		}
	}
	return nil
}

func (c *command) printHost(explanation HostExplanation) {
	report := explanation.Report
	if report.UnreachableReason != "" {
		c.line("%s in %s (%s) is %s and does not respond: %s", report.Host, report.FailureDomain, report.Region, report.State, report.UnreachableReason)
	} else {
		c.line("%s in %s (%s) is %s, a %s in the distribution tree, and has version %d in force; version %d is accepted",
			report.Host, report.FailureDomain, report.Region, report.State, report.Role, report.Version, explanation.Accepted)
	}
	if laggard := explanation.Laggard; laggard != nil {
		c.line("it has lagged at version %d for %s: %s", laggard.Version, laggard.Age.Round(time.Millisecond), laggard.Reason)
	}
	if report.UnreachableReason == "" {
		c.printHostStatus(report)
	}
	c.printObservations(explanation.Events)
	if text := unreachableText(explanation.Unreachable); text != "" {
		c.line("%s", text)
	}
}

// printHostStatus prints the load and the backend server of the host, and what
// prevents it from serving calls.
func (c *command) printHostStatus(report operator.HostReport) {
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
	c.line("it has %d calls in flight; its membership lists %d hosts, %d of them suspect", report.Calls, report.Members, report.Suspects)
	if len(report.Quarantined) > 0 {
		c.line("quarantined calls: %s", strings.Join(report.Quarantined, ", "))
	}
}
