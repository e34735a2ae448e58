package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

// refusalLimit is the number of recent refusals that are searched for a target.
const refusalLimit = 200

// TargetExplanation is the output of explain target.
type TargetExplanation struct {
	Target  config.Target       `json:"target"`
	Burn    []burn.TargetReport `json:"burn"`
	Servers []operator.Member   `json:"servers"`
	// Refusals are recent refused calls of the target's service.
	Refusals []event.Event `json:"refusals"`
}

func (c *command) explainTarget(ctx context.Context) error {
	explanation, err := c.collectTarget(ctx, c.args.Explain.Target.Name)
	if err != nil {
		return err
	}
	return c.print(explanation, func() { c.printTarget(explanation) })
}

func (c *command) collectTarget(ctx context.Context, name string) (TargetExplanation, error) {
	document, err := c.askDocument(ctx)
	if err != nil {
		return TargetExplanation{}, err
	}
	target, err := findTarget(document, name)
	if err != nil {
		return TargetExplanation{}, err
	}
	members, err := c.askMembers(ctx)
	if err != nil {
		return TargetExplanation{}, err
	}
	report, err := c.askBurn(ctx)
	if err != nil {
		return TargetExplanation{}, err
	}
	events, err := c.askEvents(ctx, operator.EventQuery{Kind: event.KindRefusal, Limit: refusalLimit, Fleet: true})
	if err != nil {
		return TargetExplanation{}, err
	}
	return TargetExplanation{
		Target:   target,
		Burn:     rowsOf(report, name),
		Servers:  serversOf(members, target.Service),
		Refusals: refusalsOf(events.Events, target),
	}, nil
}
