package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/caller"
	"rosemaryladder.dev/rosemaryladder/internal/standin/fleet"
)

const (
	// callServiceTime is the time that a backend server takes for a call.
	callServiceTime = 20 * time.Millisecond
	// callDuration is the duration of each load.
	callDuration = 12 * time.Second
	// callerGrace is the maximum time that a caller may take after its last call was
	// due.
	callerGrace = 30 * time.Second
	// rampTime is the time for the servers to finish their ramp after a cold start.
	rampTime = 11 * time.Second
)

// calls measures the path of calls on a fleet without network latency.
func (m *measurement) calls(ctx context.Context) error {
	time.Sleep(rampTime)
	service := m.fleet.Options.Deployment.Service(fleet.Lookup)
	capacity := float64(service.Instances*m.fleet.Options.Deployment.Slots) / callServiceTime.Seconds()
	m.print("capacity", capacity, "calls/s")
	if err := m.addedLatency("", service.Name, capacity/2); err != nil {
		return err
	}
	// At 5 % of the capacity hardly any call waits for a slot, so that this is the
	// added latency of the two hops alone.
	if err := m.addedLatency("low_load_", service.Name, capacity/20); err != nil {
		return err
	}
	if err := m.overload(ctx, service.Name, capacity); err != nil {
		return err
	}
	return m.orders(ctx)
}

// addedLatency compares calls through the nodes with direct calls to the servers.
func (m *measurement) addedLatency(prefix, service string, rate float64) error {
	var nodes, servers []string
	for _, host := range m.fleet.Hosts {
		if host.Service.Name == service {
			servers = append(servers, host.ServerAddress())
		}
		nodes = append(nodes, host.CallAddress())
	}
	class := fmt.Sprintf("name=lookup,service=%s,path=/lookup,rate=%f", service, rate)
	direct, err := m.runCaller(servers, class)
	if err != nil {
		return err
	}
	cpu := m.cpuSeconds()
	viaNodes, err := m.runCaller(nodes, class)
	if err != nil {
		return err
	}
	cpu = m.cpuSeconds() - cpu
	m.print(prefix+"direct_latency_p50_ms", direct.P50, "ms")
	m.print(prefix+"direct_latency_p99_ms", direct.P99, "ms")
	m.print(prefix+"added_latency_p50_ms", viaNodes.P50-direct.P50, "ms")
	m.print(prefix+"added_latency_p99_ms", viaNodes.P99-direct.P99, "ms")
	m.print(prefix+"direct_whole_percent", 100*float64(direct.Complete)/float64(direct.Sent), "%")
	m.print(prefix+"whole_percent", 100*float64(viaNodes.Complete)/float64(viaNodes.Sent), "%")
	m.print(prefix+"node_rss_mb", m.meanRSS(), "MB")
	m.print(prefix+"calls_per_core_per_s", float64(viaNodes.Sent)/cpu, "calls/s")
	return nil
}

// overload sends 120 % of the capacity and measures the goodput, which is the rate of
// calls within their objective, and the attempts per call.
func (m *measurement) overload(ctx context.Context, service string, capacity float64) error {
	var nodes []string
	for _, host := range m.fleet.Hosts {
		nodes = append(nodes, host.CallAddress())
	}
	firstCalls, attempts, err := m.attempts(ctx)
	if err != nil {
		return err
	}
	report, err := m.runCaller(nodes, fmt.Sprintf("name=lookup,service=%s,path=/lookup,rate=%f,objective=80ms", service, 1.2*capacity))
	if err != nil {
		return err
	}
	firstAfter, attemptsAfter, err := m.attempts(ctx)
	if err != nil {
		return err
	}
	goodput := float64(report.InTarget) / callDuration.Seconds() / capacity
	m.print("goodput_overload_percent", 100*goodput, "% of capacity")
	m.print("retry_amplification", (attemptsAfter-attempts)/(firstAfter-firstCalls), "attempts/call")
	return nil
}

// attempts returns the total numbers of first attempts and of all attempts made by the
// nodes.
func (m *measurement) attempts(ctx context.Context) (first, all float64, err error) {
	first, err = m.sumMetric(ctx, "rosemaryladder_call_calls")
	if err != nil {
		return 0, 0, err
	}
	retried, err := m.sumMetric(ctx, "rosemaryladder_call_retried")
	return first, first + retried, err
}

// orders sends non-idempotent calls and compares their number with the store writes
// for claims.
func (m *measurement) orders(ctx context.Context) error {
	service := m.fleet.Options.Deployment.Service(fleet.Order)
	var nodes []string
	for _, host := range m.fleet.Hosts {
		nodes = append(nodes, host.CallAddress())
	}
	if err := m.fleet.ResetStoreCounts(ctx); err != nil {
		return err
	}
	report, err := m.runCaller(nodes, fmt.Sprintf("name=order,service=%s,path=/order,method=POST,body=200,once=true,rate=400", service.Name))
	if err != nil {
		return err
	}
	counts, err := m.fleet.StoreCounts(ctx)
	if err != nil {
		return err
	}
	m.print("orders_whole_percent", 100*float64(report.Complete)/float64(report.Sent), "%")
	m.print("orders_p99_ms", report.P99, "ms")
	m.print("claims_per_store_write", float64(report.Complete)/float64(max(counts.ByKeyPrefix["claims"], 1)), "claims/write")
	m.print("claim_writes_per_s", float64(counts.ByKeyPrefix["claims"])/callDuration.Seconds(), "writes/s")
	return nil
}

// runCaller sends calls of one class to the addresses and returns the report.
func (m *measurement) runCaller(addresses []string, class string) (*caller.Report, error) {
	args := []string{"--duration", callDuration.String(), "--class", class, "--seed", fmt.Sprint(time.Now().UnixNano())}
	for _, address := range addresses {
		args = append(args, "--node", address)
	}
	process := m.fleet.NewCaller("measure", args...)
	if err := process.Start(); err != nil {
		return nil, err
	}
	if !process.Wait(callDuration + callerGrace) {
		return nil, fmt.Errorf("%s did not exit within %s", process.Name, callDuration+callerGrace)
	}
	var reports map[string]*caller.Report
	if err := json.Unmarshal([]byte(process.Output()), &reports); err != nil {
		return nil, fmt.Errorf("decode the report of %s: %w\n%s", process.Name, err, process.Output())
	}
	for _, report := range reports {
		return report, nil
	}
	return nil, fmt.Errorf("%s reported no class of calls", process.Name)
}

func (m *measurement) sumMetric(ctx context.Context, name string) (float64, error) {
	var total float64
	for _, host := range m.fleet.Hosts {
		values, err := host.Metrics(ctx)
		if err != nil {
			return 0, err
		}
		for labelled, value := range values {
			if len(labelled) > len(name) && labelled[:len(name)+1] == name+"{" {
				total += value
			}
		}
	}
	return total, nil
}
