package cli

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// stopIDLength is the length of a generated stop id in characters.
const stopIDLength = 8

func (c *command) stopPlan(ctx context.Context) error {
	args := c.args.Stop.Plan
	at, err := parseStart(args.At, time.Now())
	if err != nil {
		return err
	}
	id := args.ID
	if id == "" {
		id = uuid.NewString()[:stopIDLength]
	}
	stop := config.Stop{
		ID:     id,
		Scope:  config.StopScope{Host: args.Host, Service: args.Service, FailureDomain: args.FailureDomain},
		At:     at,
		Grace:  args.Grace,
		Reason: args.Reason,
	}.Normalized()
	if err := stop.Validate(); err != nil {
		return err
	}
	return c.change(ctx, args.ChangeArgs, config.Change{Stops: []config.StopUpsert{{Stop: stop}}})
}

// parseStart parses an RFC 3339 time or a duration from now.
func parseStart(text string, now time.Time) (time.Time, error) {
	if after, err := time.ParseDuration(text); err == nil {
		return now.Add(after).UTC(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, result.Errorf(result.Usage, "--at %q must be a time like 2026-12-24T22:00:00Z or a duration like 10m", text)
	}
	return at.UTC(), nil
}

func (c *command) stopCancel(ctx context.Context) error {
	args := c.args.Stop.Cancel
	return c.change(ctx, args.ChangeArgs, config.Change{DeleteStops: []config.Deletion{{Name: args.ID}}})
}

func (c *command) stopList(ctx context.Context) error {
	stops, err := queryNodes(ctx, c, func(ctx context.Context, client *operator.Client) ([]operator.StopReport, error) {
		return client.Stops(ctx)
	})
	if err != nil {
		return err
	}
	return c.print(stops, func() { c.printStops(stops) })
}

func (c *command) printStops(stops []operator.StopReport) {
	var rows [][]string
	for _, report := range stops {
		rows = append(rows, []string{
			report.Stop.ID, scopeText(report.Stop.Scope), report.Stop.At.Format(time.RFC3339), report.Stop.Grace.String(),
			report.State, strconv.Itoa(report.Hosts), strconv.Itoa(report.InFlight), strings.Join(report.Unreachable, ","), report.Stop.Reason,
		})
	}
	c.table([]string{"STOP", "SCOPE", "AT", "GRACE", "STATE", "HOSTS", "IN FLIGHT", "UNREACHABLE", "REASON"}, rows)
}

func scopeText(scope config.StopScope) string {
	switch {
	case scope.FailureDomain != "":
		return "failure domain " + scope.FailureDomain
	case scope.Service != "":
		return scope.Service + " on " + scope.Host
	default:
		return "host " + scope.Host
	}
}
