package cli

import (
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// rowsOf selects the rows of one target.
func rowsOf(report burn.Report, target string) []burn.TargetReport {
	var rows []burn.TargetReport
	for _, row := range report.Targets {
		if row.Target == target {
			rows = append(rows, row)
		}
	}
	return rows
}

// serversOf selects the backend servers of one service.
func serversOf(members []operator.Member, service string) []operator.Member {
	var servers []operator.Member
	for _, member := range members {
		if member.Service == service {
			servers = append(servers, member)
		}
	}
	return servers
}

// refusalsOf selects the refusals of one target's calls.
func refusalsOf(events []event.Event, target config.Target) []event.Event {
	var refusals []event.Event
	for _, event := range events {
		if event.Target == target.Name {
			refusals = append(refusals, event)
		}
	}
	return refusals
}

// printTarget says how the target is met and what stands in its way.
func (c *command) printTarget(explanation TargetExplanation) {
	target := explanation.Target
	c.line("%s of %s: %s within %s, %s succeed", target.Name, target.Service, formatPercent(target.LatencyPercent), target.Latency, formatPercent(target.SuccessPercent))
	for _, row := range explanation.Burn {
		c.line("%s: %s", row.Region, row.Success.Describe())
		c.line("%s: %s", row.Region, row.Latency.Describe())
	}
	ready, slots := 0, 0
	for _, server := range explanation.Servers {
		if server.State == "alive" && server.Server == "ready" {
			ready++
			slots += server.Slots
			continue
		}
		c.line("no work goes to %s: node %s, backend server %s since %s", server.Host, server.State, server.Server, server.Since.Format(time.RFC3339))
	}
	c.line("%d backend servers are ready with %d slots", ready, slots)
	c.printRefusals(explanation.Refusals)
}

// printRefusals counts recent refusals by code and shows the newest of each.
func (c *command) printRefusals(refusals []event.Event) {
	counts := make(map[result.Code]int)
	newest := make(map[result.Code]event.Event)
	for _, refusal := range refusals {
		counts[refusal.Code]++
		if counts[refusal.Code] == 1 {
			newest[refusal.Code] = refusal
		}
	}
	for _, entry := range result.Table() {
		if counts[entry.Code] > 0 {
			c.line("refused lately: %d calls with %d (%s), newest %s: %s", counts[entry.Code], entry.Code, entry.Name, newest[entry.Code].Subject, newest[entry.Code].Message)
		}
	}
}
