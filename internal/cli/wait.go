package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// pollInterval is how often a waiting tool asks for the status. A node answers
// from a cache of 200 ms, so asking more often costs the fleet nothing.
const pollInterval = 50 * time.Millisecond

// waitInForce waits until every node has the version in force; version 0 means
// the accepted one.
func (c *command) waitInForce(ctx context.Context, version uint64, limit time.Duration) error {
	started := time.Now()
	for {
		status, err := c.askStatus(ctx)
		if err == nil && converged(status, version) {
			c.progress("")
			return c.printConverged(status, time.Since(started))
		}
		if time.Since(started) >= limit {
			c.progress("")
			return notInForce(status, err, limit)
		}
		c.progress(fmt.Sprintf("%d of %d nodes have version %d in force", status.InForce, status.Nodes, status.Accepted))
		select {
		case <-ctx.Done():
			return result.Wrap(ctx.Err(), result.NotInForce, "interrupted")
		case <-time.After(pollInterval):
		}
	}
}

func converged(status operator.FleetStatus, version uint64) bool {
	return status.Partial == "" && status.Accepted >= version && status.Nodes > 0 && status.InForce == status.Nodes
}

func (c *command) printConverged(status operator.FleetStatus, elapsed time.Duration) error {
	if c.args.Output == OutputJSON {
		return nil
	}
	c.line("version %d is in force on all %d nodes after %s", status.Accepted, status.Nodes, elapsed.Round(time.Millisecond))
	return nil
}

// notInForce returns the error of a wait that ran out of time.
func notInForce(status operator.FleetStatus, cause error, limit time.Duration) error {
	if cause != nil {
		return result.Wrap(cause, result.NotInForce, "no status within %s", limit)
	}
	var lagging []string
	for _, laggard := range status.Laggards {
		lagging = append(lagging, fmt.Sprintf("%s (version %d: %s)", laggard.Host, laggard.Version, laggard.Reason))
	}
	return result.Errorf(result.NotInForce, "%d of %d nodes have version %d in force after %s; lagging: %s",
		status.InForce, status.Nodes, status.Accepted, limit, strings.Join(lagging, ", "))
}

// progress rewrites the progress line on a terminal; an empty text removes it.
func (c *command) progress(text string) {
	if c.streams.Terminal {
		fmt.Fprintf(c.streams.Err, "\r\x1b[K%s", text)
	}
}
