package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// pollInterval is how often a waiting tool polls the status. Readers reuse the
// reports of other regions for 200 ms, so polling more often adds no traffic between
// the regions, and requests within a region are cheap.
const pollInterval = 50 * time.Millisecond

// WaitResult is the outcome of waiting for a version to be in force.
type WaitResult struct {
	InForce bool                 `json:"in_force"`
	Elapsed time.Duration        `json:"elapsed_ns"`
	Status  operator.FleetStatus `json:"status"`
}

// waitInForce waits until every node has the version in force; version 0 means
// the accepted one. When the limit passes or the context ends first, the error has
// the code NotInForce and the result holds the last status.
func (c *command) waitInForce(ctx context.Context, version uint64, limit time.Duration) (*WaitResult, error) {
	started := time.Now()
	defer c.progress("")
	for {
		status, err := c.fetchStatus(ctx)
		waited := &WaitResult{Elapsed: time.Since(started), Status: status}
		if err == nil && converged(status, version) {
			waited.InForce = true
			return waited, nil
		}
		if waited.Elapsed >= limit {
			return waited, notInForceError(status, err, version, limit)
		}
		c.progress(fmt.Sprintf("%d of %d nodes have version %d in force", status.InForce, status.Nodes, status.Accepted))
		select {
		case <-ctx.Done():
			return waited, result.Wrap(ctx.Err(), result.NotInForce, "interrupted; the distribution of the accepted version continues")
		case <-time.After(pollInterval):
		}
	}
}

func converged(status operator.FleetStatus, version uint64) bool {
	return status.PartialReason == "" && status.Accepted >= version && status.Nodes > 0 && status.InForce == status.Nodes
}

// printWait prints how long the fleet took; nothing when the version is not in
// force on all nodes.
func (c *command) printWait(waited *WaitResult) {
	if waited != nil && waited.InForce {
		c.line("version %d is in force on all %d nodes after %s", waited.Status.Accepted, waited.Status.Nodes, waited.Elapsed.Round(time.Millisecond))
	}
}

// notInForceError returns the error of a wait that timed out.
func notInForceError(status operator.FleetStatus, cause error, version uint64, limit time.Duration) error {
	if cause != nil {
		return result.Wrap(cause, result.NotInForce, "no status of the fleet received within %s", limit)
	}
	reasons := []string{fmt.Sprintf("%d of %d nodes have version %d in force after %s", status.InForce, status.Nodes, status.Accepted, limit)}
	if status.Accepted < version {
		reasons = append(reasons, fmt.Sprintf("version %d is not known to the fleet yet", version))
	}
	for _, laggard := range status.Laggards {
		reasons = append(reasons, fmt.Sprintf("%s lags at version %d: %s", laggard.Host, laggard.Version, laggard.Reason))
	}
	if len(status.UnreachableRegions) > 0 {
		reasons = append(reasons, "unreachable regions: "+strings.Join(status.UnreachableRegions, ", "))
	}
	if status.PartialReason != "" {
		reasons = append(reasons, "the status is incomplete: "+status.PartialReason)
	}
	return result.Errorf(result.NotInForce, "%s", strings.Join(reasons, "; "))
}

// progress overwrites the progress line on a terminal; an empty text removes it.
func (c *command) progress(text string) {
	if c.streams.Terminal {
		fmt.Fprintf(c.streams.Err, "\r\x1b[K%s", text)
	}
}
