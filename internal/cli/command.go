package cli

import (
	"context"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// command is one run of the tool.
type command struct {
	args    Args
	streams Streams
}

// run dispatches to the verb.
func (c *command) run(ctx context.Context, verb string) error {
	verbs := map[string]func(context.Context) error{
		"target apply":    c.targetApply,
		"target list":     c.targetList,
		"target show":     c.targetShow,
		"target delete":   c.targetDelete,
		"stop plan":       c.stopPlan,
		"stop list":       c.stopList,
		"stop cancel":     c.stopCancel,
		"status":          c.status,
		"explain host":    c.explainHost,
		"explain target":  c.explainTarget,
		"explain call":    c.explainCall,
		"explain change":  c.explainChange,
		"explain repairs": c.explainRepairs,
		"report burn":     c.reportBurn,
	}
	run, found := verbs[verb]
	if !found {
		return result.Errorf(result.Usage, "%q is not a complete command", program+" "+verb)
	}
	if c.args.Output != OutputTable && c.args.Output != OutputJSON {
		return result.Errorf(result.Usage, "--output %q must be table or json", c.args.Output)
	}
	if len(c.args.Node) == 0 {
		return result.Errorf(result.Usage, "--node or ROSEMARYLADDER_NODE must name the operator address of a node")
	}
	return run(ctx)
}

// ask asks the nodes in order until one answers.
func ask[T any](ctx context.Context, c *command, question func(context.Context, *operator.Client) (T, error)) (T, error) {
	var value T
	var err error
	for _, address := range c.args.Node {
		value, err = askOne(ctx, address, c.args.Timeout, question)
		if result.CodeOf(err) != result.NodeUnreachable {
			return value, err
		}
	}
	return value, err
}

func askOne[T any](ctx context.Context, address string, timeout time.Duration, question func(context.Context, *operator.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return question(ctx, operator.NewClient(address))
}
