package cli

import (
	"context"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// callIDParts is the number of parts of a call id after the name of the host:
// the start of the node and the number of the call.
const callIDParts = 2

// explainCall asks the node that took the call, and the whole fleet only when
// that node does not know it.
func (c *command) explainCall(ctx context.Context) error {
	id := c.args.Explain.Call.Name
	reply, err := c.findCall(ctx, id)
	if err != nil {
		return err
	}
	if len(reply.Events) == 0 {
		return callNotFound(id, reply)
	}
	return c.print(reply, func() {
		c.printObservations(condense(reply.Events))
		newest := reply.Events[0]
		entry := result.Describe(newest.Code)
		if newest.Target != "" {
			c.line("the call belongs to target %s", newest.Target)
		}
		c.line("%s %s", entry.Meaning, entry.Next)
	})
}

func (c *command) findCall(ctx context.Context, id string) (operator.EventResponse, error) {
	if host := hostOfCall(id); host != "" {
		reply, err := c.askEvents(ctx, operator.EventQuery{Subject: id, Host: host})
		if err != nil || len(reply.Events) > 0 {
			return reply, err
		}
	}
	return c.askEvents(ctx, operator.EventQuery{Subject: id, Fleet: true})
}

// hostOfCall returns the host whose node took the call; empty when the id does
// not have the form of a call id.
func hostOfCall(id string) string {
	parts := strings.Split(id, "-")
	if len(parts) <= callIDParts {
		return ""
	}
	return strings.Join(parts[:len(parts)-callIDParts], "-")
}

func callNotFound(id string, reply operator.EventResponse) error {
	message := "no node keeps an event of call " + id + ": the call was not refused, its event was overwritten, or its node restarted"
	if text := unasked(reply.Unreachable); text != "" {
		message += "; " + text
	}
	return result.Errorf(result.NotFound, "%s", message)
}
