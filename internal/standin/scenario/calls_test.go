package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/standin/caller"
	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

// callers: callers start NAME HOSTS DURATION CLASS... sends calls in the
// background through the nodes of the hosts, such as those of a region. callers
// finish NAME [whole] [uncut] waits for the caller and fails if a response
// belongs to another request or no response is complete. With whole it fails
// unless every call got a complete response; with uncut it fails on truncated
// responses, unknown outcomes and server errors. Classes have the syntax of the
// caller stand-in.
func (r *run) callers(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "start" {
		r.startCallers(ts, args[1], args[2], args[3], args[4:])
		return
	}
	process := r.runningCallers[args[1]]
	if !process.Wait(scriptLimit) {
		ts.Fatalf("caller %s did not exit within %s", args[1], scriptLimit)
	}
	var reports map[string]*caller.Report
	ts.Check(json.Unmarshal([]byte(process.Output()), &reports))
	for class, report := range reports {
		r.recordOutcomes(report)
		report.Orders = nil
		line, _ := json.Marshal(report)
		ts.Logf("%s: %s", class, line)
		checkReport(ts, class, report, args[2:])
	}
}

func checkReport(ts *testscript.TestScript, class string, report *caller.Report, conditions []string) {
	if report.Mismatched > 0 {
		ts.Fatalf("%s: %d responses do not match their request", class, report.Mismatched)
	}
	if report.Complete == 0 {
		ts.Fatalf("%s: none of %d calls got a complete response", class, report.Sent)
	}
	for _, condition := range conditions {
		switch condition {
		case "whole":
			if report.Complete != report.Sent {
				ts.Fatalf("%s: %d of %d calls got no complete response", class, report.Sent-report.Complete, report.Sent)
			}
		case "uncut":
			if report.Truncated > 0 || report.Unknown > 0 || report.Failed > 0 {
				ts.Fatalf("%s: %d truncated responses, %d unknown outcomes, %d server errors; want none", class, report.Truncated, report.Unknown, report.Failed)
			}
		}
	}
}

func (r *run) startCallers(ts *testscript.TestScript, name, region, duration string, classes []string) {
	args := []string{"--duration", duration, "--list-orders", "--seed", fmt.Sprint(len(r.runningCallers) + 1), "--timeout", "8s"}
	for _, host := range r.hostList(ts, region) {
		args = append(args, "--node", host.CallAddress())
	}
	for _, class := range classes {
		args = append(args, "--class", class)
	}
	process := r.fleet.NewCaller(name, args...)
	ts.Check(process.Start())
	r.runningCallers[name] = process
}

// recordOutcomes stores the outcome that the caller saw for each order.
func (r *run) recordOutcomes(report *caller.Report) {
	if r.outcomes == nil {
		r.outcomes = make(map[string]string)
	}
	for key, outcome := range report.Orders {
		r.outcomes[key] = outcome
	}
}

// orders compares the outcomes that callers saw with the run logs of the backend
// servers, which survive a kill: an order with a response ran once, a refused
// order did not run, and no order ran twice.
func (r *run) orders(ts *testscript.TestScript, _ bool, _ []string) {
	runs := r.runsByKey(ts)
	counts := make(map[string]int)
	for key, outcome := range r.outcomes {
		counts[outcome]++
		switch {
		case runs[key] > 1:
			ts.Fatalf("order %s (%s) ran %d times", key, outcome, runs[key])
		case outcome == "whole" && runs[key] != 1:
			ts.Fatalf("order %s got a response but ran %d times", key, runs[key])
		case outcome == "refused" && runs[key] != 0:
			ts.Fatalf("order %s was refused as not run but ran %d times", key, runs[key])
		}
	}
	for key, count := range runs {
		if count > 1 {
			ts.Fatalf("order %s ran %d times", key, count)
		}
	}
	ts.Logf("orders by outcome: %v; %d keys ran", counts, len(runs))
	if counts["whole"] == 0 {
		ts.Fatalf("none of %d orders got a complete response", len(r.outcomes))
	}
}

// runsByKey counts the runs of each key in the logs of all backend servers.
func (r *run) runsByKey(ts *testscript.TestScript) map[string]int {
	runs := make(map[string]int)
	for _, host := range r.fleet.Hosts {
		file, err := os.Open(host.RunLog)
		if os.IsNotExist(err) {
			continue
		}
		ts.Check(err)
		scanner := bufio.NewScanner(file)
		for scanner.Scan() {
			if key, _, _ := strings.Cut(scanner.Text(), " "); key != "" {
				runs[key]++
			}
		}
		file.Close()
	}
	return runs
}

// metric: metric HOSTS SUBSTRING waits up to 5 s until each host has a metric
// whose name and labels contain the substring and whose value is above 0.
func (r *run) metric(ts *testscript.TestScript, _ bool, args []string) {
	for _, host := range r.hosts(ts, args[0]) {
		if !r.waitMetric(host, args[1]) {
			ts.Fatalf("host %s has no metric matching %q with a value above 0", host.Name, args[1])
		}
	}
}

func (r *run) waitMetric(host *fleet.Host, name string) bool {
	for startedAt := time.Now(); time.Since(startedAt) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		values, err := host.Metrics(r.ctx)
		if err != nil {
			continue
		}
		for line, value := range values {
			if strings.Contains(line, name) && value > 0 {
				return true
			}
		}
	}
	return false
}
