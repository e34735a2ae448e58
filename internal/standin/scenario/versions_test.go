package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

// watchInterval is the time between two version checks of a watched node.
const watchInterval = 50 * time.Millisecond

// watchVersions: watch start polls the version of every node; watch stop fails if
// a ready node served an older version than before, also across a restart.
func (r *run) watchVersions(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "start" {
		ctx, cancel := context.WithCancel(r.ctx)
		r.cancelWatch = cancel
		for _, host := range r.fleet.Hosts {
			r.watchers.Go(func() { r.watchHost(ctx, host) })
		}
		return
	}
	r.cancelWatch()
	r.watchers.Wait()
	if len(r.regressions) > 0 {
		ts.Fatalf("nodes went back to an older version:\n%s", strings.Join(r.regressions, "\n"))
	}
}

func (r *run) watchHost(ctx context.Context, host *fleet.Host) {
	client := host.Operator()
	var highest uint64
	for ctx.Err() == nil {
		report, err := client.Host(ctx, "")
		if err == nil && report.Ready && report.Version < highest {
			r.mu.Lock()
			r.regressions = append(r.regressions, fmt.Sprintf("%s served version %d after %d", host.Name, report.Version, highest))
			r.mu.Unlock()
		}
		if err == nil && report.Ready {
			highest = max(highest, report.Version)
		}
		time.Sleep(watchInterval)
	}
}

// converged: [!] converged VERSION WITHIN [except HOSTS] waits until every node
// is ready and has the version or a newer one in force.
func (r *run) converged(ts *testscript.TestScript, neg bool, args []string) {
	version, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	excluded := make(map[string]bool)
	if len(args) > 3 {
		for _, host := range r.hostList(ts, args[3]) {
			excluded[host.Name] = true
		}
	}
	startedAt := time.Now()
	lagging := r.lagging(version, excluded)
	for len(lagging) > 0 && time.Since(startedAt) < limit {
		time.Sleep(10 * time.Millisecond)
		lagging = r.lagging(version, excluded)
	}
	if (len(lagging) > 0) != neg {
		waited := time.Since(startedAt)
		ts.Logf("%s", r.describeHosts())
		ts.Fatalf("after %s %d nodes do not have version %d in force (expected to converge: %t): %s", waited, len(lagging), version, !neg, strings.Join(lagging, ", "))
	}
	ts.Logf("version %d: %d nodes behind after %s", version, len(lagging), time.Since(startedAt).Round(time.Millisecond))
}

// shownEvents is the number of events per node in the output of a failure.
const shownEvents = 8

// describeHosts returns the role and the parent of each node in the distribution
// tree and its last events, to diagnose a version that did not propagate.
func (r *run) describeHosts() string {
	var text strings.Builder
	for _, host := range r.fleet.Hosts {
		ctx, cancel := context.WithTimeout(r.ctx, time.Second)
		report, err := host.Operator().Host(ctx, "")
		fmt.Fprintf(&text, "%s in %s: %s, version %d, parent %q, ready %t (%s), error %v\n",
			host.Name, host.FailureDomain, report.Role, report.Version, report.Parent, report.Ready, report.ReadyReason, err)
		reply, err := host.Operator().Events(ctx, operator.EventQuery{Limit: shownEvents})
		cancel()
		if err != nil {
			fmt.Fprintf(&text, "  no events: %v\n", err)
		}
		for _, e := range reply.Events {
			fmt.Fprintf(&text, "  %s %s %s: %s\n", e.At.Format(time.RFC3339Nano), e.Kind, e.Subject, e.Message)
		}
	}
	return text.String()
}

// lagging returns the nodes that are not ready or serve a version older than the
// given one.
func (r *run) lagging(version uint64, excluded map[string]bool) []string {
	var lagging []string
	for _, host := range r.fleet.Hosts {
		if excluded[host.Name] {
			continue
		}
		ctx, cancel := context.WithTimeout(r.ctx, time.Second)
		report, err := host.Operator().Host(ctx, "")
		cancel()
		if err != nil || !report.Ready || report.Version < version {
			lagging = append(lagging, fmt.Sprintf("%s at %d", host.Name, report.Version))
		}
	}
	return lagging
}

func writeFile(dir, name string, data []byte) error {
	return os.WriteFile(filepath.Join(dir, name), data, 0o600)
}
