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
	// Wait is the outcome of waiting for the version to be in force; nil without
	// --wait and in a dry run.
	Wait *WaitResult `json:"wait,omitempty"`
}

// change sends a change, or previews it, and waits until it is in force if the
// arguments request it. A change whose response was lost is sent to the next node
// with the same id, so that it is applied at most once.
func (c *command) change(ctx context.Context, args ChangeArgs, change config.Change) error {
	change.IfVersion = args.IfVersion
	change.ID = args.ChangeID
	if change.ID == "" {
		change.ID = config.NewChangeID()
	}
	response, err := c.sendChange(ctx, operator.ChangeRequest{Change: change, DryRun: args.DryRun})
	if err != nil {
		return err
	}
	if c.args.Output == OutputTable {
		c.printChange(response)
	}
	outcome := ChangeResult{ChangeResponse: response}
	var waitErr error
	if !args.DryRun && args.Wait > 0 {
		outcome.Wait, waitErr = c.waitInForce(ctx, response.Version, args.Wait)
	}
	if err := c.print(outcome, func() { c.printWait(outcome.Wait) }); err != nil {
		return err
	}
	return waitErr
}

// sendChange sends the change to the nodes in order until one responds. Once a
// node may have received the change without responding, a later error does not
// rule out that it is applied; the code is then ChangeOutcomeUnknown.
func (c *command) sendChange(ctx context.Context, request operator.ChangeRequest) (operator.ChangeResponse, error) {
	mayHaveRun := false
	response, err := queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (operator.ChangeResponse, error) {
		response, err := client.Change(ctx, request)
		mayHaveRun = mayHaveRun || operator.MayHaveRun(err)
		return response, err
	})
	id := request.Change.ID
	switch code := result.CodeOf(err); {
	case err == nil || request.DryRun:
		return response, err
	case mayHaveRun || code == result.ChangeOutcomeUnknown:
		return response, result.Wrap(err, result.ChangeOutcomeUnknown, "the outcome of change %s is unknown; run %s explain change %s, or repeat the command with --change-id %s, which applies the change at most once", id, program, id, id)
	case code == result.NodeUnreachable:
		return response, result.Wrap(err, code, "the change was not sent; nothing was accepted")
	default:
		return response, err
	}
}

func (c *command) printChange(response operator.ChangeResponse) {
	for _, difference := range response.Differences {
		c.line("%s", difference)
	}
	for _, warning := range response.Warnings {
		c.line("warning: %s", warning)
	}
	switch {
	case response.Unchanged:
		c.line("nothing to change; the configuration is at version %d", response.Version)
	case response.DryRun:
		c.line("dry run: would create version %d; nothing was changed", response.Version)
	default:
		c.line("accepted as version %d (change %s)", response.Version, response.ChangeID)
	}
}
