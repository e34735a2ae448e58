package cli

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// command is one run of the tool.
type command struct {
	args    Args
	streams Streams
	// clients holds the clients by address, so that a command that polls uses one
	// connection instead of one for each request.
	clients map[string]*operator.Client
}

// client returns the client of the node at address.
func (c *command) client(address string) *operator.Client {
	if c.clients == nil {
		c.clients = make(map[string]*operator.Client)
	}
	if c.clients[address] == nil {
		c.clients[address] = operator.NewClient(address)
	}
	return c.clients[address]
}

// run validates the common arguments and runs the verb.
func (c *command) run(ctx context.Context, verb string) error {
	verbs := c.verbs()
	run, found := verbs[verb]
	if !found {
		return incompleteCommand(verb, slices.Sorted(maps.Keys(verbs)))
	}
	if c.args.Output != OutputTable && c.args.Output != OutputJSON {
		return result.Errorf(result.Usage, "--output %q must be table or json", c.args.Output)
	}
	if len(c.args.Node) == 0 {
		return result.Errorf(result.Usage, "--node or %s must name the operator address of a node", nodeEnvVar)
	}
	for _, address := range c.args.Node {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return result.Errorf(result.Usage, "--node %q must be an IP and a port", address)
		}
	}
	return run(ctx)
}

func (c *command) verbs() map[string]func(context.Context) error {
	return map[string]func(context.Context) error{
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
}

// incompleteCommand returns the error of a command line that lacks a verb. It
// lists the verbs that may follow.
func incompleteCommand(verb string, verbs []string) error {
	var following []string
	for _, name := range verbs {
		rest, found := strings.CutPrefix(name, verb)
		if words := strings.Fields(rest); found && len(words) > 0 && !slices.Contains(following, words[0]) {
			following = append(following, words[0])
		}
	}
	return result.Errorf(result.Usage, "%s must be followed by one of: %s", strings.TrimSpace(program+" "+verb), strings.Join(following, ", "))
}

// queryNodes queries the nodes in order until one responds. When none responds,
// the error has the code NodeUnreachable and contains the error of each node.
func queryNodes[T any](ctx context.Context, c *command, query func(context.Context, *operator.Client) (T, error)) (T, error) {
	var failures []error
	for _, address := range c.args.Node {
		value, err := queryNode(ctx, c.client(address), c.args.Timeout, query)
		if result.CodeOf(err) != result.NodeUnreachable {
			return value, err
		}
		failures = append(failures, err)
	}
	var zero T
	if len(failures) == 1 {
		return zero, failures[0]
	}
	return zero, result.Wrap(errors.Join(failures...), result.NodeUnreachable, "none of %d nodes responded", len(failures))
}

func queryNode[T any](ctx context.Context, client *operator.Client, timeout time.Duration, query func(context.Context, *operator.Client) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return query(ctx, client)
}
