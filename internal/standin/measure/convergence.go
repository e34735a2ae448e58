package measure

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/config"
	"rosemaryladder.dev/rosemaryladder/internal/event"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

const (
	// convergenceLimit is the maximum time to wait for one version.
	convergenceLimit = 20 * time.Second
	// byteChanges is the number of changes over which the bytes are averaged.
	byteChanges = 60
	// burstChanges is the number of changes of a burst.
	burstChanges = 40
	// changePause is the time between two changes, so that each is measured alone.
	changePause = 250 * time.Millisecond
)

// sampleTarget returns a target for a class. The revision varies its content, so that
// each change differs.
func sampleTarget(deployment fleet.Deployment, class fleet.Class, revision int) config.Target {
	target := config.Target{
		Name: string(class), Service: deployment.Service(class).Name, Methods: []string{"GET"}, Path: "/" + string(class),
		Idempotent: true, Deadline: 2 * time.Second, Latency: 80 * time.Millisecond, LatencyPercent: 99,
		SuccessPercent: 90 + float64(revision%90)/10, Priority: config.PriorityLookup,
	}
	if class == fleet.Order {
		target.Idempotent, target.Methods, target.Priority = false, []string{"POST"}, config.PriorityOrder
	}
	if class == fleet.Download {
		target.Deadline, target.Priority = time.Minute, config.PriorityDownload
	}
	return target
}

// declareTargets writes the three targets and waits until they are in force.
func (m *measurement) declareTargets(ctx context.Context) error {
	change := config.Change{ID: config.NewChangeID()}
	for _, class := range []fleet.Class{fleet.Lookup, fleet.Order, fleet.Download} {
		change.Targets = append(change.Targets, config.TargetUpsert{Target: sampleTarget(m.fleet.Options.Deployment, class, 0)})
	}
	reply, err := m.fleet.Hosts[0].Operator().Change(ctx, operator.ChangeRequest{Change: change})
	if err != nil {
		return err
	}
	_, err = m.waitInForce(ctx, reply.Version, m.fleet.Hosts)
	return err
}

// change changes one target through a host and returns the new version.
func (m *measurement) change(ctx context.Context, via *fleet.Host) (uint64, error) {
	m.changes++
	change := config.Change{ID: config.NewChangeID(), Targets: []config.TargetUpsert{
		{Target: sampleTarget(m.fleet.Options.Deployment, fleet.Lookup, m.changes)},
	}}
	reply, err := via.Operator().Change(ctx, operator.ChangeRequest{Change: change})
	return reply.Version, err
}

// convergence measures single changes on an otherwise idle fleet, made through the hosts
// in turn, and the bytes that each sends between the regions.
func (m *measurement) convergence(ctx context.Context) error {
	var times []float64
	for i := range m.options.Changes {
		elapsed, err := m.converge(ctx, m.fleet.Hosts[i%len(m.fleet.Hosts)], m.fleet.Hosts)
		if err != nil {
			return err
		}
		times = append(times, elapsed)
		time.Sleep(changePause)
	}
	m.print("convergence_p50_ms", percentile(times, 0.5), "ms")
	m.print("convergence_p99_ms", percentile(times, 0.99), "ms")
	return m.changeBytes(ctx)
}

// changeBytes measures the bytes that a change sends between the regions. The changes
// follow each other immediately, so that the idle traffic, which is subtracted, is a
// small part.
func (m *measurement) changeBytes(ctx context.Context) error {
	before, err := m.controlBytes(ctx, "region/control")
	if err != nil {
		return err
	}
	startedAt := time.Now()
	for i := range byteChanges {
		if _, err := m.converge(ctx, m.fleet.Hosts[i%len(m.fleet.Hosts)], m.fleet.Hosts); err != nil {
			return err
		}
	}
	after, err := m.controlBytes(ctx, "region/control")
	if err != nil {
		return err
	}
	idleBytes := m.idleRegionBytesPerSecond * time.Since(startedAt).Seconds()
	perChange := (after - before - idleBytes) / byteChanges
	m.print("control_bytes_per_change_across_regions", perChange, "B")
	if err := m.burstBytes(ctx); err != nil {
		return err
	}
	return m.compareWithDelta(perChange)
}

// burstBytes measures the bytes per change in a burst of changes that do not wait for
// each other. The batch setting allows such changes to share a delta.
func (m *measurement) burstBytes(ctx context.Context) error {
	before, err := m.controlBytes(ctx, "region/control")
	if err != nil {
		return err
	}
	startedAt := time.Now()
	var version uint64
	for range burstChanges {
		if version, err = m.change(ctx, m.fleet.Hosts[0]); err != nil {
			return err
		}
	}
	if _, err := m.waitInForce(ctx, version, m.fleet.Hosts); err != nil {
		return err
	}
	after, err := m.controlBytes(ctx, "region/control")
	idleBytes := m.idleRegionBytesPerSecond * time.Since(startedAt).Seconds()
	m.print("burst_bytes_per_change_across_regions", (after-before-idleBytes)/burstChanges, "B")
	return err
}

// compareWithDelta prints the size of a compressed delta and the ratio of perChange to
// it.
func (m *measurement) compareWithDelta(perChange float64) error {
	before := config.Document{Version: 1, Targets: []config.Target{sampleTarget(m.fleet.Options.Deployment, fleet.Lookup, 1)}, Stops: []config.Stop{}}
	before.Targets[0].ChangedAt = 1
	before.Changes = []config.AppliedChange{{ID: config.NewChangeID(), Version: 1}}
	from, err := config.NewSnapshot(before)
	if err != nil {
		return err
	}
	change := config.Change{ID: config.NewChangeID(), Targets: []config.TargetUpsert{{Target: sampleTarget(m.fleet.Options.Deployment, fleet.Lookup, 2)}}}
	to, err := config.Apply(from, change, config.Rules{})
	if err != nil {
		return err
	}
	encoded, err := config.DeltaBetween(from, to).Encode()
	if err != nil {
		return err
	}
	m.print("compressed_delta", float64(len(encoded)), "B")
	m.print("control_bytes_per_change_to_delta_ratio", perChange/float64(len(encoded)), "ratio")
	return nil
}

// converge makes a change and returns the time in ms from its write to the store until
// the last of the watched hosts has it in force.
func (m *measurement) converge(ctx context.Context, via *fleet.Host, watched []*fleet.Host) (float64, error) {
	version, err := m.change(ctx, via)
	if err != nil {
		return 0, err
	}
	counts, err := m.fleet.StoreCounts(ctx)
	if err != nil {
		return 0, err
	}
	last, err := m.waitInForce(ctx, version, watched)
	if err != nil {
		return 0, err
	}
	return float64(last.Sub(counts.WrittenAt["config"])) / float64(time.Millisecond), nil
}

// waitInForce waits until all hosts have put the version or a newer one in force and
// returns when the last did, according to the events that the hosts recorded.
func (m *measurement) waitInForce(ctx context.Context, version uint64, hosts []*fleet.Host) (time.Time, error) {
	deadline := time.Now().Add(convergenceLimit)
	var last time.Time
	for _, host := range hosts {
		at, found := publishedAt(ctx, host, version)
		for !found {
			if time.Now().After(deadline) {
				return last, fmt.Errorf("%s does not have version %d in force after %s", host.Name, version, convergenceLimit)
			}
			time.Sleep(5 * time.Millisecond)
			at, found = publishedAt(ctx, host, version)
		}
		if at.After(last) {
			last = at
		}
	}
	return last, nil
}

func publishedAt(ctx context.Context, host *fleet.Host, version uint64) (time.Time, bool) {
	reply, err := host.Operator().Events(ctx, operator.EventQuery{Kind: event.KindConfig, Limit: 5})
	if err != nil {
		return time.Time{}, false
	}
	var at time.Time
	for _, e := range reply.Events {
		if published, err := strconv.ParseUint(strings.TrimPrefix(e.Subject, "v"), 10, 64); err == nil && e.Code == 0 && published >= version {
			at = e.At
		}
	}
	return at, !at.IsZero()
}

// faults measures changes made immediately after nodes were killed: both readers, a
// complete failure domain and every third node, in turn.
func (m *measurement) faults(ctx context.Context) error {
	var times []float64
	for round := range m.options.Changes / 4 {
		hostsToKill := m.hostsToKill(ctx, round)
		alive := m.remainingHosts(hostsToKill)
		for _, host := range hostsToKill {
			host.Node.Signal(syscall.SIGKILL)
		}
		elapsed, err := m.converge(ctx, alive[round%len(alive)], alive)
		if err != nil {
			return err
		}
		times = append(times, elapsed)
		if err := m.restart(ctx, hostsToKill); err != nil {
			return err
		}
	}
	m.print("convergence_faults_p50_ms", percentile(times, 0.5), "ms")
	m.print("convergence_faults_p99_ms", percentile(times, 0.99), "ms")
	return nil
}

func (m *measurement) hostsToKill(ctx context.Context, round int) []*fleet.Host {
	var hostsToKill []*fleet.Host
	for i, host := range m.fleet.Hosts {
		report, err := host.Operator().Host(ctx, "")
		isReader := err == nil && report.Role == "reader"
		domain := m.fleet.Options.Deployment.Regions[round%2].Domains[0]
		if round%3 == 0 && isReader || round%3 == 1 && host.FailureDomain == domain || round%3 == 2 && i%3 == 0 {
			hostsToKill = append(hostsToKill, host)
		}
	}
	return hostsToKill
}

func (m *measurement) remainingHosts(hostsToKill []*fleet.Host) []*fleet.Host {
	killed := make(map[*fleet.Host]bool)
	for _, host := range hostsToKill {
		killed[host] = true
	}
	var alive []*fleet.Host
	for _, host := range m.fleet.Hosts {
		if !killed[host] {
			alive = append(alive, host)
		}
	}
	return alive
}

func (m *measurement) restart(ctx context.Context, hosts []*fleet.Host) error {
	for _, host := range hosts {
		host.Node.Kill()
		if err := host.Node.Start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return m.fleet.WaitReady(ctx)
}

// simultaneousRestart kills every node, restarts them together and prints the peak
// rate of store calls and the time until all are ready.
func (m *measurement) simultaneousRestart(ctx context.Context) error {
	for _, host := range m.fleet.Hosts {
		host.Node.Signal(syscall.SIGKILL)
	}
	if err := m.fleet.ResetStoreCounts(ctx); err != nil {
		return err
	}
	startedAt := time.Now()
	if err := m.restart(ctx, m.fleet.Hosts); err != nil {
		return err
	}
	counts, err := m.fleet.StoreCounts(ctx)
	if err != nil {
		return err
	}
	m.print("store_calls_peak_herd", float64(counts.PeakPerSecond), "calls/s")
	m.print("herd_ready_s", time.Since(startedAt).Seconds(), "s")
	return nil
}
