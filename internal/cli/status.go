package cli

import (
	"context"
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
)

func (c *command) status(ctx context.Context) error {
	if c.args.Status.Members {
		return c.members(ctx)
	}
	if c.args.Status.Wait > 0 {
		return c.statusAfterWait(ctx)
	}
	status, err := c.fetchStatus(ctx)
	if err != nil {
		return err
	}
	return c.print(status, func() { c.printStatus(status) })
}

// statusAfterWait waits and prints the last status, also when the wait timed out.
func (c *command) statusAfterWait(ctx context.Context) error {
	waited, err := c.waitInForce(ctx, 0, c.args.Status.Wait)
	printErr := c.print(waited.Status, func() {
		c.printStatus(waited.Status)
		c.printWait(waited)
	})
	if err != nil {
		return err
	}
	return printErr
}

func (c *command) fetchStatus(ctx context.Context) (operator.FleetStatus, error) {
	return queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) (operator.FleetStatus, error) {
		return client.Status(ctx)
	})
}

func (c *command) printStatus(status operator.FleetStatus) {
	c.line("version %d is accepted; %d of %d nodes have it in force", status.Accepted, status.InForce, status.Nodes)
	if len(status.UnreachableRegions) > 0 {
		c.line("unreachable regions: %s", strings.Join(status.UnreachableRegions, ", "))
	}
	if len(status.NotAlive) > 0 {
		c.line("not alive: %s", strings.Join(status.NotAlive, ", "))
	}
	if status.PartialReason != "" {
		c.line("incomplete: %s", status.PartialReason)
	}
	var rows [][]string
	for _, domain := range status.Domains {
		rows = append(rows, []string{
			domain.Region, domain.FailureDomain, strconv.Itoa(domain.Nodes), strconv.Itoa(domain.InForce), strconv.FormatUint(domain.Oldest, 10),
		})
	}
	c.table([]string{"REGION", "FAILURE DOMAIN", "NODES", "IN FORCE", "OLDEST"}, rows)
	for _, laggard := range status.Laggards {
		c.line("lagging: %s in %s has version %d for %s: %s",
			laggard.Host, laggard.FailureDomain, laggard.Version, laggard.Age.Round(time.Millisecond), laggard.Reason)
	}
}

func (c *command) members(ctx context.Context) error {
	members, err := c.fetchMembers(ctx)
	if err != nil {
		return err
	}
	return c.print(members, func() { c.printMembers(members) })
}

func (c *command) fetchMembers(ctx context.Context) ([]operator.Member, error) {
	return queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) ([]operator.Member, error) {
		return client.Members(ctx)
	})
}

func (c *command) printMembers(members []operator.Member) {
	var rows [][]string
	for _, member := range members {
		reader := ""
		if member.Reader {
			reader = "reader"
		}
		rows = append(rows, []string{
			member.Host, member.Region, member.FailureDomain, member.State, member.Service, member.Server, strconv.Itoa(member.Slots), member.Operator, reader,
		})
	}
	c.table([]string{"HOST", "REGION", "FAILURE DOMAIN", "STATE", "SERVICE", "SERVER", "SLOTS", "OPERATOR PORT", "ROLE"}, rows)
}
