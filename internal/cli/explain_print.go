package cli

import (
	"slices"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/burn"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/result"
)

// rowsOf returns the rows of one target.
func rowsOf(report burn.Report, target string) []burn.TargetReport {
	var rows []burn.TargetReport
	for _, row := range report.Targets {
		if row.Target == target {
			rows = append(rows, row)
		}
	}
	return rows
}

// serversOf returns the members with a backend server of one service.
func serversOf(members []operator.Member, service string) []operator.Member {
	var servers []operator.Member
	for _, member := range members {
		if member.Service == service {
			servers = append(servers, member)
		}
	}
	return servers
}

// countCodes counts refusals by result code.
func countCodes(refusals []event.Event) map[result.Code]int {
	counts := make(map[result.Code]int)
	for _, refusal := range refusals {
		counts[refusal.Code]++
	}
	return counts
}

// printTarget prints how the target is met and why calls miss it.
func (c *command) printTarget(explanation TargetExplanation) {
	target := explanation.Target
	c.line("%s of %s: %s within %s, %s succeed", target.Name, target.Service, formatPercent(target.LatencyPercent), target.Latency, formatPercent(target.SuccessPercent))
	c.printBurn(explanation)
	c.printServers(explanation.Servers)
	c.printRefusals(explanation)
	if text := unreachableText(explanation.Unreachable); text != "" {
		c.line("%s", text)
	}
}

// printBurn prints how the target is met by region.
func (c *command) printBurn(explanation TargetExplanation) {
	if explanation.BurnMissing != "" {
		c.line("the burn report is missing: %s", explanation.BurnMissing)
		return
	}
	if len(explanation.Burn) == 0 {
		c.line("no calls in the last 6 h")
		return
	}
	// A write fails only when the reader of the output has closed it.
	_ = burn.Report{Targets: explanation.Burn}.WriteText(c.streams.Out)
}

func (c *command) printServers(servers []operator.Member) {
	ready, slots := 0, 0
	for _, server := range servers {
		if server.State == "alive" && server.Server == "ready" {
			ready++
			slots += server.Slots
			continue
		}
		c.line("no calls are sent to %s: node %s, backend server %s%s", server.Host, server.State, server.Server, sinceText(server.Since))
	}
	c.line("%d of %d backend servers are ready, with %d slots", ready, len(servers), slots)
}

func sinceText(since time.Time) string {
	if since.IsZero() {
		return ""
	}
	return " since " + since.UTC().Format(time.RFC3339)
}

// printRefusals prints the number of refusals and the newest one for each code.
func (c *command) printRefusals(explanation TargetExplanation) {
	if len(explanation.Refusals) == 0 {
		c.line("no refused calls are recorded")
		return
	}
	var rows [][]string
	for _, entry := range result.Table() {
		if count := explanation.RefusedByCode[entry.Code]; count > 0 {
			newest := newestWithCode(explanation.Refusals, entry.Code)
			rows = append(rows, []string{strconv.Itoa(count), strconv.Itoa(int(entry.Code)), entry.Name, newest.At.UTC().Format(timeFormat), newest.Subject, newest.Message})
		}
	}
	c.table([]string{"REFUSED", "CODE", "NAME", "NEWEST", "CALL", "WHY"}, rows)
	if explanation.Truncated {
		c.line("only the newest %d refusals are counted", len(explanation.Refusals))
	}
}

// newestWithCode returns the newest refusal with the code. The refusals are
// ordered newest first and must contain the code.
func newestWithCode(refusals []event.Event, code result.Code) event.Event {
	i := slices.IndexFunc(refusals, func(refusal event.Event) bool { return refusal.Code == code })
	return refusals[i]
}
