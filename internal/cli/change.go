package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// change sends a change, or previews it, and waits if asked to. A change whose
// answer was lost is sent again with the same id, which applies it at most once.
func (c *command) change(ctx context.Context, args ChangeArgs, change config.Change) error {
	change.IfVersion = args.IfVersion
	change.ID = args.ChangeID
	if change.ID == "" {
		change.ID = config.NewChangeID()
	}
	request := operator.ChangeRequest{Change: change, DryRun: args.DryRun}
	reply, err := ask(ctx, c, func(ctx context.Context, client *operator.Client) (operator.ChangeReply, error) {
		return client.Change(ctx, request)
	})
	if err != nil {
		return unknownUnlessRefused(err, change.ID)
	}
	if err := c.print(reply, func() { c.printChange(reply) }); err != nil {
		return err
	}
	if args.DryRun || args.Wait == 0 {
		return nil
	}
	return c.waitInForce(ctx, reply.Version, args.Wait)
}

// unknownUnlessRefused tells the operator how to ask for the outcome when no
// node answered, since one of them may have accepted the change.
func unknownUnlessRefused(err error, changeID string) error {
	if result.CodeOf(err) != result.NodeUnreachable {
		return err
	}
	return result.Wrap(err, result.ChangeOutcomeUnknown, "no node answered; ask with explain change %s, or repeat the command with --change-id %s", changeID, changeID)
}

func (c *command) printChange(reply operator.ChangeReply) {
	for _, difference := range reply.Differences {
		c.line("%s", difference)
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
