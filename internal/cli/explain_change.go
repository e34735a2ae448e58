package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// explainChange prints whether a change was accepted. It fails with the code
// NotFound when the configuration does not list the change, so that scripts can
// check the exit status.
func (c *command) explainChange(ctx context.Context) error {
	id := c.args.Explain.Change.Name
	state, err := queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (operator.ChangeState, error) {
		return client.ChangeState(ctx, id)
	})
	if err != nil {
		return err
	}
	if err := c.print(state, func() { c.printChangeState(state) }); err != nil {
		return err
	}
	if !state.Accepted {
		return result.Errorf(result.NotFound, "change %s is not among the last %d accepted changes; a write whose response was lost can still take effect within seconds, so check again before repeating it with --change-id %s", id, config.MaxAppliedChanges, id)
	}
	return nil
}

func (c *command) printChangeState(state operator.ChangeState) {
	if state.Accepted {
		c.line("change %s was accepted as version %d", state.ChangeID, state.Version)
	}
}
