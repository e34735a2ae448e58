package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/caller"
	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

// callerGrace is the time that a caller may take to finish its last calls.
const callerGrace = 60 * time.Second

// revisedTargets returns a target file with its first deadline of 400 ms doubled.
func revisedTargets(data []byte) []byte {
	return bytes.Replace(data, []byte("deadline = 400ms"), []byte("deadline = 800ms"), 1)
}

// startCallers starts a caller in each region.
func (d *demo) startCallers() ([]*fleet.Process, error) {
	var callers []*fleet.Process
	for i, region := range d.fleet.Options.Deployment.Regions {
		process := d.fleet.NewCaller(region.Name, d.callerArgs(i, region.Name)...)
		if err := process.Start(); err != nil {
			return nil, err
		}
		callers = append(callers, process)
	}
	return callers, nil
}

func (d *demo) callerArgs(index int, region string) []string {
	args := []string{"--duration", d.options.Duration.String(), "--seed", fmt.Sprint(index + 1)}
	for _, host := range d.fleet.HostsInRegion(region) {
		args = append(args, "--node", host.CallAddress())
	}
	deployment := d.fleet.Options.Deployment
	for _, class := range []string{
		classArgument(deployment, fleet.Lookup, "method=GET,rate=60"),
		classArgument(deployment, fleet.Order, "method=POST,rate=20,body=200,once=true"),
		classArgument(deployment, fleet.Download, "method=GET,rate=4,size=400000"),
	} {
		args = append(args, "--class", class)
	}
	return args
}

// paths holds the path that the example targets match, by service.
var paths = map[string]string{
	"pattern-reg": "/patterns", "orderdesk": "/orders", "templatevault": "/templates",
	"katalog": "/availability", "bokning": "/bookings", "ritning": "/drawings",
}

func classArgument(deployment fleet.Deployment, class fleet.Class, rest string) string {
	service := deployment.Service(class).Name
	return fmt.Sprintf("name=%s,service=%s,path=%s,%s", class, service, paths[service], rest)
}

// totals holds the call counts of all callers.
type totals struct {
	sent, complete, truncated, duplicated int64
	refused                               map[string]int64
}

// collect waits for the callers to exit and returns the totals of their reports.
func (d *demo) collect(callers []*fleet.Process) (*totals, error) {
	combined := &totals{refused: make(map[string]int64)}
	for _, process := range callers {
		if !process.Wait(d.options.Duration + callerGrace) {
			return nil, fmt.Errorf("%s did not exit within %s", process.Name, d.options.Duration+callerGrace)
		}
		var reports map[string]*caller.Report
		if err := json.Unmarshal([]byte(process.Output()), &reports); err != nil {
			return nil, fmt.Errorf("decode the report of %s: %w\n%s", process.Name, err, process.Output())
		}
		for class, report := range reports {
			combined.add(process.Name, class, report)
		}
	}
	duplicated, err := d.duplicateRuns()
	combined.duplicated = duplicated
	return combined, err
}

func (t *totals) add(caller, class string, report *caller.Report) {
	fmt.Printf("%-18s %-9s sent %5d, whole %5d, refused %v, unknown %d, broken %d, failed %d, mismatched %d, p99 %.1f ms\n",
		caller, class, report.Sent, report.Complete, report.Refused, report.Unknown, report.Truncated, report.Failed, report.Mismatched, report.P99)
	t.sent += report.Sent
	t.complete += report.Complete
	t.truncated += report.Truncated + report.Mismatched
	for code, count := range report.Refused {
		t.refused[code] += count
	}
}

// duplicateRuns returns the number of runs of orders beyond the first of each key.
func (d *demo) duplicateRuns() (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	runs := make(map[string]int64)
	service := d.fleet.Options.Deployment.Service(fleet.Order).Name
	for _, host := range d.fleet.Hosts {
		if host.Service.Name != service {
			continue
		}
		hostRuns, err := host.Runs(ctx)
		if err != nil {
			return 0, err
		}
		for _, run := range hostRuns {
			runs[run.Key]++
		}
	}
	var duplicated int64
	for _, count := range runs {
		duplicated += count - 1
	}
	return duplicated, nil
}

// verdict prints the summary and returns an error if calls were lost, duplicated or
// truncated.
func (t *totals) verdict() error {
	lost := t.sent - t.complete - t.truncated
	fmt.Printf("calls: %d sent, %d whole, %d lost, %d doubled, %d cut\n", t.sent, t.complete, lost, t.duplicated, t.truncated)
	if lost != 0 || t.duplicated != 0 || t.truncated != 0 {
		return fmt.Errorf("%d calls lost, %d duplicated, %d truncated, want none; refused by code: %s", lost, t.duplicated, t.truncated, formatCounts(t.refused))
	}
	return nil
}

func formatCounts(counts map[string]int64) string {
	var parts []string
	for code, count := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", code, count))
	}
	return strings.Join(parts, ", ")
}
