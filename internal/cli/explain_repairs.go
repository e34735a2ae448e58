package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

func (c *command) explainRepairs(ctx context.Context) error {
	reply, err := c.askEvents(ctx, operator.EventQuery{Kind: event.KindRepair, Limit: c.args.Explain.Repairs.Limit, Fleet: true})
	if err != nil {
		return err
	}
	return c.print(reply, func() {
		c.printObservations(condense(reply.Events))
		c.printMissing(reply)
	})
}
