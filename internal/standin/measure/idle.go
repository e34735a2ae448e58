package measure

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

const (
	// settleTime is the time for a fleet to become idle before it is measured.
	settleTime = 3 * time.Second
	// clockTicks is the number of clock ticks per second, the unit of CPU times in
	// /proc.
	clockTicks = 100
)

// idleCost measures what the control plane costs when nothing changes.
func (m *measurement) idleCost(ctx context.Context) error {
	time.Sleep(settleTime)
	if err := m.fleet.ResetStoreCounts(ctx); err != nil {
		return err
	}
	all, region, cpu, err := m.usage(ctx)
	if err != nil {
		return err
	}
	time.Sleep(m.options.IdlePeriod)
	allAfter, regionAfter, cpuAfter, err := m.usage(ctx)
	if err != nil {
		return err
	}
	counts, err := m.fleet.StoreCounts(ctx)
	if err != nil {
		return err
	}
	seconds, nodes := m.options.IdlePeriod.Seconds(), float64(len(m.fleet.Hosts))
	m.idleRegionBytesPerSecond = (regionAfter - region) / seconds
	m.print("control_bytes_per_node_per_s", (allAfter-all)/seconds/nodes, "B/s sent")
	m.print("control_bytes_across_regions_per_s", m.idleRegionBytesPerSecond, "B/s")
	m.print("store_calls_per_s", float64(counts.Total)/counts.Seconds, "calls/s")
	m.print("node_cpu_percent", 100*(cpuAfter-cpu)/seconds/nodes, "% of a core")
	m.print("node_rss_mb", m.meanRSS(), "MB")
	return nil
}

// usage returns the total control bytes, those between regions, and the CPU seconds
// used by the nodes.
func (m *measurement) usage(ctx context.Context) (all, region, cpu float64, err error) {
	all, err = m.controlBytes(ctx, "all/control")
	if err != nil {
		return 0, 0, 0, err
	}
	region, err = m.controlBytes(ctx, "region/control")
	return all, region, m.cpuSeconds(), err
}

func (m *measurement) controlBytes(ctx context.Context, name string) (float64, error) {
	counts, err := m.fleet.LinkCounts(ctx)
	return float64(counts[name].Forward + counts[name].Back), err
}

func (m *measurement) cpuSeconds() float64 {
	var total float64
	for _, host := range m.fleet.Hosts {
		total += cpuSeconds(host.Node)
	}
	return total
}

// cpuSeconds returns the user and system CPU time of a process, or 0 if it is not
// running.
func cpuSeconds(process *fleet.Process) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(process.PID()) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// meanRSS returns the mean resident memory of the nodes in MB.
func (m *measurement) meanRSS() float64 {
	var total float64
	for _, host := range m.fleet.Hosts {
		text, err := os.ReadFile("/proc/" + strconv.Itoa(host.Node.PID()) + "/status")
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), "VmRSS:")
		kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		total += kilobytes / 1000
	}
	return total / float64(len(m.fleet.Hosts))
}
