package cli

import (
	"context"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// hostEventLimit is the number of events shown for a host.
const hostEventLimit = 10

// HostExplanation is the output of explain host.
type HostExplanation struct {
	Report operator.HostReport `json:"report"`
	Events []event.Event       `json:"events"`
}

func (c *command) explainHost(ctx context.Context) error {
	name := c.args.Explain.Host.Name
	report, err := ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.HostReport, error) {
		return client.Host(ctx, name)
	})
	if err != nil {
		return err
	}
	reply, err := c.askEvents(ctx, operator.EventQuery{Fleet: true})
	if err != nil {
		return err
	}
	explanation := HostExplanation{Report: report, Events: aboutHost(reply.Events, name)}
	return c.print(explanation, func() { c.printHost(explanation) })
}

// aboutHost selects the events that the host recorded or that name it.
func aboutHost(events []event.Event, host string) []event.Event {
	var selected []event.Event
	for _, event := range events {
		if len(selected) < hostEventLimit && (event.Node == host || event.Subject == host) {
			selected = append(selected, event)
		}
	}
	return selected
}

func (c *command) printHost(explanation HostExplanation) {
	report := explanation.Report
	c.line("%s in %s (%s) is a %s and has version %d in force", report.Host, report.FailureDomain, report.Region, report.Role, report.Version)
	if report.Parent != "" {
		c.line("its configuration comes from %s", report.Parent)
	}
	if !report.Ready {
		c.line("it refuses calls: %s", report.ReadyReason)
	}
	if report.Rejection != nil {
		c.line("it rejected version %d: %s", report.Rejection.Version, report.Rejection.Reason)
	}
	c.line("backend server %s is %s: %d of %d slots in use, %d calls queued", report.Service, report.Server, report.InFlight, report.Slots, report.Queued)
	if len(report.Quarantined) > 0 {
		c.line("quarantined calls: %s", strings.Join(report.Quarantined, ", "))
	}
	c.printEvents(explanation.Events)
}

func (c *command) explainCall(ctx context.Context) error {
	id := c.args.Explain.Call.Name
	reply, err := c.askEvents(ctx, operator.EventQuery{Subject: id, Fleet: true})
	if err != nil {
		return err
	}
	if len(reply.Events) == 0 {
		return result.Errorf(result.NotFound, "no event of call %q is kept; only refused and failed calls leave one, and old ones are overwritten%s", id, unasked(reply))
	}
	return c.print(reply, func() { c.printEvents(reply.Events) })
}

// unasked names the hosts whose events are missing.
func unasked(reply operator.EventReply) string {
	if len(reply.Unreachable) == 0 {
		return ""
	}
	return "; these hosts did not answer: " + strings.Join(reply.Unreachable, ", ")
}

func (c *command) explainChange(ctx context.Context) error {
	state, err := ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.ChangeState, error) {
		return client.ChangeState(ctx, c.args.Explain.Change.Name)
	})
	if err != nil {
		return err
	}
	return c.print(state, func() {
		if state.Accepted {
			c.line("change %s was accepted as version %d", state.ChangeID, state.Version)
			return
		}
		c.line("change %s is not among the changes that the configuration remembers: it was not accepted, or long ago", state.ChangeID)
	})
}

func (c *command) explainRepairs(ctx context.Context) error {
	reply, err := c.askEvents(ctx, operator.EventQuery{Kind: event.KindRepair, Limit: c.args.Explain.Repairs.Limit, Fleet: true})
	if err != nil {
		return err
	}
	return c.print(reply, func() {
		c.printEvents(reply.Events)
		if text := unasked(reply); text != "" {
			c.line("%s", strings.TrimPrefix(text, "; "))
		}
	})
}

func (c *command) askEvents(ctx context.Context, query operator.EventQuery) (operator.EventReply, error) {
	return ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.EventReply, error) {
		return client.Events(ctx, query)
	})
}

func (c *command) printEvents(events []event.Event) {
	for _, event := range events {
		c.line("%s  %-16s %-11s %s: %s", event.At.Format(time.RFC3339Nano), event.Node, event.Kind, event.Subject, event.Message)
	}
}
