package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// ChangeResult is the output of a change.
type ChangeResult struct {
	operator.ChangeResponse
	// Wait is set after waiting for the version to be in force.
	Wait *WaitResult `json:"wait,omitempty"`
}

// change sends a change, or previews it, and waits if asked to. A change whose
// answer was lost is sent again with the same id, which applies it at most once.
func (c *command) change(ctx context.Context, args ChangeArgs, change config.Change) error {
	change.IfVersion = args.IfVersion
	change.ID = args.ChangeID
	if change.ID == "" {
		change.ID = config.NewChangeID()
	}
	reply, err := c.sendChange(ctx, operator.ChangeRequest{Change: change, DryRun: args.DryRun})
	if err != nil {
		return err
	}
	if c.args.Output == OutputTable {
		c.printChange(reply)
	}
	outcome := ChangeResult{ChangeResponse: reply}
	var waited error
	if !args.DryRun && args.Wait > 0 {
		outcome.Wait, waited = c.waitInForce(ctx, reply.Version, args.Wait)
	}
	if err := c.print(outcome, func() { c.printWait(outcome.Wait) }); err != nil {
		return err
	}
	return waited
}

// sendChange asks the nodes in order. Once a node may have taken the change
// without answering, only an acceptance is certain.
func (c *command) sendChange(ctx context.Context, request operator.ChangeRequest) (operator.ChangeResponse, error) {
	lost := false
	reply, err := ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.ChangeResponse, error) {
		reply, err := client.Change(ctx, request)
		lost = lost || operator.MayHaveRun(err)
		return reply, err
	})
	id := request.Change.ID
	switch code := result.CodeOf(err); {
	case err == nil || request.DryRun:
		return reply, err
	case lost || code == result.ChangeOutcomeUnknown:
		return reply, result.Wrap(err, result.ChangeOutcomeUnknown, "the outcome of change %s is unknown; run %s explain change %s, or repeat the command with --change-id %s, which changes nothing twice", id, program, id, id)
	case code == result.NodeUnreachable:
		return reply, result.Wrap(err, code, "the change was not sent; nothing was accepted")
	default:
		return reply, err
	}
}

func (c *command) printChange(reply operator.ChangeResponse) {
	for _, difference := range reply.Differences {
		c.line("%s", difference)
	}
	for _, warning := range reply.Warnings {
		c.line("warning: %s", warning)
	}
	switch {
	case reply.Unchanged:
		c.line("nothing to change; the configuration is at version %d", reply.Version)
	case reply.DryRun:
		c.line("dry run: would make version %d; nothing was changed", reply.Version)
	default:
		c.line("accepted as version %d (change %s)", reply.Version, reply.ChangeID)
	}
}
