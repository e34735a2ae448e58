package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/faultproxy"
	"rosemaryladder.dev/rosemaryladder/internal/standin/platformscenario"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

const (
	// startTimeout limits the start of all hosts, and of one sidecar.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the operators' limit for a fleet to serve again after a fault.
	recoveryTimeout = 15 * time.Second
	// grace is the time from SIGTERM until the platform kills a process.
	grace = 6 * time.Second
	// reloadObservation is how long a sidecar is observed after a reload.
	reloadObservation = 50 * time.Millisecond
	// lostResponsesPercent is the percentage of store calls that take effect without a
	// response while the store loses responses.
	lostResponsesPercent = 50
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// runner injects the faults of one plan.
type runner struct {
	deployment *platformscenario.Deployment
	// hostLocks holds a lock per host, so that no two faults restart its processes at
	// the same time.
	hostLocks []sync.Mutex

	mu         sync.Mutex
	violations []string
	version    int
	// activeFaults is the number of active faults per proxy address or store fault.
	activeFaults map[string]int
}

// Run injects the faults of one seed. An error means that the run could not start;
// broken guarantees are in the report.
func Run(options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	// Every second seed plays a deployment with workspaces, whose nodes refuse keys that the
	// store has not confirmed.
	begin := platformscenario.StartBehindProxies
	if options.Seed%2 == 1 {
		begin = platformscenario.StartKeyedBehindProxies
	}
	d, err := begin(options.Program, options.Directory, options.Hosts)
	if err != nil {
		return Report{}, err
	}
	defer d.Close()
	r := &runner{deployment: d, hostLocks: make([]sync.Mutex, options.Hosts), version: 1, activeFaults: make(map[string]int)}
	d.Configure(r.version, 0)
	if !r.allReady(startTimeout) {
		return Report{}, fmt.Errorf("the %d hosts were not ready within %s", options.Hosts, startTimeout)
	}
	load := d.StartLoad(options.Callers)
	faults := plan(options.Seed, options.Hosts, options.FaultPeriod)
	r.execute(faults)
	r.checkRecovery()
	load.Stop()
	return Report{
		Seed: options.Seed, Faults: len(faults),
		Sent: load.Sent, Served: load.Served, Refused: load.Refused, Failed: load.Failed,
		Violations: append(r.violations, load.Violations...),
	}, nil
}

// execute injects the faults at their start times and waits for the last to end.
func (r *runner) execute(faults []fault) {
	startedAt := time.Now()
	var group sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(startedAt.Add(f.at)))
		group.Go(func() { r.inject(f) })
	}
	group.Wait()
}

func (r *runner) inject(f fault) {
	proxies := r.deployment.Proxies(f.host)
	switch f.kind {
	case kill, terminate, freeze, reload:
		r.hostLocks[f.host].Lock()
		defer r.hostLocks[f.host].Unlock()
		r.signal(f)
	case inboundLinkFault:
		r.injectProxyFault(proxies.Inbound, f)
	case storeLinkFault:
		r.injectProxyFault(proxies.Store, f)
	case serverLinkFault:
		r.injectProxyFault(proxies.Server, f)
	case crash, replace:
		r.hostLocks[f.host].Lock()
		defer r.hostLocks[f.host].Unlock()
		r.restartServer(f)
	case failRequests:
		r.failRequests(f)
	case leaveUnannounced:
		r.hostLocks[f.host].Lock()
		defer r.hostLocks[f.host].Unlock()
		r.leaveUnannounced(f)
	case storeDown:
		r.injectStoreFault(f, func(faults *store.Faults, enabled bool) { faults.Unavailable = enabled })
	case storeLosesResponses:
		r.injectStoreFault(f, func(faults *store.Faults, enabled bool) {
			faults.LostResponsesPercent = 0
			if enabled {
				faults.LostResponsesPercent = lostResponsesPercent
			}
		})
	case compact:
		r.deployment.Store.State().Compact()
	case revoke:
		r.deployment.Store.State().RevokeAll()
	case configure:
		r.configure()
	}
}

// signal kills, terminates, freezes or reloads a sidecar and ensures that it runs
// afterwards.
func (r *runner) signal(f fault) {
	switch f.kind {
	case reload:
		r.recordError(r.deployment.Signal(f.host, syscall.SIGHUP))
		if r.deployment.WaitExit(f.host, reloadObservation) == nil {
			r.recordViolation("a reload ended the sidecar of host %d", f.host)
			r.startNode(f.host)
		}
	case freeze:
		r.recordError(r.deployment.Signal(f.host, syscall.SIGSTOP))
		time.Sleep(f.duration)
		r.recordError(r.deployment.Signal(f.host, syscall.SIGCONT))
	case terminate:
		r.recordError(r.deployment.Signal(f.host, syscall.SIGTERM))
		if err := r.deployment.WaitExit(f.host, grace); err != nil {
			r.recordViolation("a sidecar outlived its grace: %v", err)
			r.recordError(r.deployment.Signal(f.host, syscall.SIGKILL))
			r.recordError(r.deployment.WaitExit(f.host, grace))
		}
		r.startNode(f.host)
	case kill:
		r.recordError(r.deployment.Signal(f.host, syscall.SIGKILL))
		r.recordError(r.deployment.WaitExit(f.host, grace))
		time.Sleep(f.duration)
		r.startNode(f.host)
	}
}

// startNode starts a sidecar and waits until it handles signals. A signal that is
// delivered before the program has installed its handlers terminates the process.
func (r *runner) startNode(host int) {
	r.recordError(r.deployment.StartNode(host))
	deadline := time.Now().Add(startTimeout)
	for !r.deployment.Responds(host) {
		if time.Now().After(deadline) {
			r.recordViolation("the sidecar of host %d did not open its ports within %s", host, startTimeout)
			return
		}
		time.Sleep(pollInterval)
	}
}

// injectProxyFault sets a fault of a proxy for the duration of f. Of overlapping
// faults, the last to end clears it.
func (r *runner) injectProxyFault(proxy *faultproxy.Proxy, f fault) {
	variants := []faultproxy.Fault{faultproxy.Delay, faultproxy.Reset, faultproxy.Stall, faultproxy.StallResponses}
	r.activate(proxy.Address(), f.duration, func(enabled bool) {
		if enabled {
			proxy.Set(variants[f.variant%len(variants)])
			return
		}
		proxy.Set(faultproxy.None)
	})
}

// injectStoreFault enables a fault of the store for the duration of f.
func (r *runner) injectStoreFault(f fault, set func(faults *store.Faults, enabled bool)) {
	r.activate(string(f.kind), f.duration, func(enabled bool) {
		r.deployment.Store.ChangeFaults(func(faults *store.Faults) { set(faults, enabled) })
	})
}

// activate enables a fault and disables it after the duration, unless another fault of
// the same name is still active.
func (r *runner) activate(name string, duration time.Duration, set func(enabled bool)) {
	r.mu.Lock()
	r.activeFaults[name]++
	set(true)
	r.mu.Unlock()
	time.Sleep(duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeFaults[name]--; r.activeFaults[name] == 0 {
		set(false)
	}
}

// restartServer stops a backend server, immediately or after a drain, and starts a new
// one.
func (r *runner) restartServer(f fault) {
	app := r.deployment.App(f.host)
	if f.kind == replace {
		app.Drain()
		time.Sleep(f.duration)
		if late := app.LateRequests(); late > 0 {
			r.recordViolation("%d requests reached the server of host %d after its leaving was acknowledged", late, f.host)
		}
	}
	r.deployment.StopApp(f.host)
	time.Sleep(f.duration)
	r.recordError(r.deployment.StartApp(f.host))
}

// failureStatuses are those with which servers fail requests that they have run. Some of
// them promise callers that a request has not run.
var failureStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// failRequests has a backend server fail what it runs.
func (r *runner) failRequests(f fault) {
	r.hostLocks[f.host].Lock()
	app := r.deployment.App(f.host)
	r.hostLocks[f.host].Unlock()
	app.Fail(failureStatuses[f.variant%len(failureStatuses)])
	time.Sleep(f.duration)
	app.Fail(0)
}

// leaveUnannounced replaces a backend server by one that leaves before its first check-in
// arrives, and that one by a usual one.
func (r *runner) leaveUnannounced(f fault) {
	r.deployment.StopApp(f.host)
	r.recordError(r.deployment.StartSilentApp(f.host))
	app := r.deployment.App(f.host)
	app.Leave()
	time.Sleep(f.duration / 2)
	// It fails while the sidecar does not respond.
	_ = app.SendLateCheckIn()
	time.Sleep(f.duration / 2)
	if late := app.LateRequests(); late > 0 {
		r.recordViolation("%d requests reached the server of host %d after its leaving was acknowledged, although it had not announced itself", late, f.host)
	}
	r.deployment.StopApp(f.host)
	r.recordError(r.deployment.StartApp(f.host))
}

// idleTimeouts are the limits of successive versions of the configuration. Callers that
// wait for their turn on other hosts exceed the shortest.
var idleTimeouts = []time.Duration{15 * time.Second, 100 * time.Millisecond, 2 * time.Second}

// configure writes the next version of the configuration, which has one more route and
// another idle limit, and returns the version.
func (r *runner) configure() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.deployment.IdleTimeout = idleTimeouts[r.version%len(idleTimeouts)]
	r.deployment.Configure(r.version, r.version)
	return r.version
}

func (r *runner) allReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for i := range r.hostLocks {
		for !r.deployment.Ready(i) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(pollInterval)
		}
	}
	return true
}

// recordError records an error of the harness as a violation. Such an error does
// not prove a fault of the sidecars, but a run whose faults were not all injected must
// not pass.
func (r *runner) recordError(err error) {
	if err != nil {
		r.recordViolation("the run itself: %v", err)
	}
}

func (r *runner) recordViolation(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, arguments...))
}
