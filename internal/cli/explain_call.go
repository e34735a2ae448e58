package cli

import (
	"context"
	"strings"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// callIDParts is the number of parts of a call id after the name of the host: the
// start time of the node and the sequence number of the call.
const callIDParts = 2

// explainCall queries the node that received the call, and the whole fleet only
// when that node has no event of the call.
func (c *command) explainCall(ctx context.Context) error {
	id := c.args.Explain.Call.Name
	response, err := c.findCall(ctx, id)
	if err != nil {
		return err
	}
	if len(response.Events) == 0 {
		return callNotFound(id, response)
	}
	return c.print(response, func() {
		c.printObservations(groupEvents(response.Events))
		newest := response.Events[0]
		entry := result.Describe(newest.Code)
		if newest.Target != "" {
			c.line("the call belongs to target %s", newest.Target)
		}
		c.line("%s %s", entry.Meaning, entry.Next)
	})
}

func (c *command) findCall(ctx context.Context, id string) (operator.EventResponse, error) {
	if host := hostOfCall(id); host != "" {
		response, err := c.fetchEvents(ctx, operator.EventQuery{Subject: id, Host: host})
		if err != nil || len(response.Events) > 0 {
			return response, err
		}
	}
	return c.fetchEvents(ctx, operator.EventQuery{Subject: id, Fleet: true})
}

// hostOfCall returns the host whose node received the call, or "" when the id
// does not have the format of a call id.
func hostOfCall(id string) string {
	parts := strings.Split(id, "-")
	if len(parts) <= callIDParts {
		return ""
	}
	return strings.Join(parts[:len(parts)-callIDParts], "-")
}

func callNotFound(id string, response operator.EventResponse) error {
	message := "no node has an event of call " + id + ": the call was not refused, its event was overwritten, or its node restarted"
	if text := unreachableText(response.Unreachable); text != "" {
		message += "; " + text
	}
	return result.Errorf(result.NotFound, "%s", message)
}
