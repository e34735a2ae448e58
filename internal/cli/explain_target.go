package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// refusalLimit is the maximum number of recent refusals that are read for a target.
const refusalLimit = 200

// TargetExplanation is the output of explain target.
type TargetExplanation struct {
	Target config.Target       `json:"target"`
	Burn   []burn.TargetReport `json:"burn"`
	// BurnMissing is the reason why there is no burn report; empty when there is
	// one.
	BurnMissing string            `json:"burn_missing,omitempty"`
	Servers     []operator.Member `json:"servers"`
	// RefusedByCode is the number of Refusals by result code.
	RefusedByCode map[result.Code]int `json:"refused_by_code"`
	// Refusals lists recent refused calls of the target, newest first.
	Refusals []event.Event `json:"refusals"`
	// Truncated is set when there are more refusals than Refusals lists.
	Truncated bool `json:"truncated,omitempty"`
	// Unreachable lists hosts whose refusals are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

func (c *command) explainTarget(ctx context.Context) error {
	explanation, err := c.collectTarget(ctx, c.args.Explain.Target.Name)
	if err != nil {
		return err
	}
	return c.print(explanation, func() { c.printTarget(explanation) })
}

func (c *command) collectTarget(ctx context.Context, name string) (TargetExplanation, error) {
	document, err := c.fetchDocument(ctx)
	if err != nil {
		return TargetExplanation{}, err
	}
	target, err := findTarget(document, name)
	if err != nil {
		return TargetExplanation{}, err
	}
	members, err := c.fetchMembers(ctx)
	if err != nil {
		return TargetExplanation{}, err
	}
	// The burn report requires a reader in the region of the queried node. The rest
	// of the explanation must be available without one.
	report, err := c.fetchBurn(ctx)
	burnMissing := ""
	if err != nil {
		burnMissing = err.Error()
	}
	events, err := c.fetchEvents(ctx, operator.EventQuery{Kind: event.KindRefusal, Target: name, Limit: refusalLimit, Fleet: true})
	if err != nil {
		return TargetExplanation{}, err
	}
	return TargetExplanation{
		Target:        target,
		Burn:          rowsOf(report, name),
		BurnMissing:   burnMissing,
		Servers:       serversOf(members, target.Service),
		RefusedByCode: countCodes(events.Events),
		Refusals:      events.Events,
		Truncated:     events.Truncated,
		Unreachable:   events.Unreachable,
	}, nil
}
