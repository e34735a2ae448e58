package cli

import (
	"context"

	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

func (c *command) explainRepairs(ctx context.Context) error {
	response, err := c.fetchEvents(ctx, operator.EventQuery{Kind: event.KindRepair, Limit: c.args.Explain.Repairs.Limit, Fleet: true})
	if err != nil {
		return err
	}
	return c.print(response, func() {
		c.printObservations(groupEvents(response.Events))
		c.printGaps(response)
	})
}
