package soak

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/faultproxy"
	"rosemaryladder.dev/rosemaryladder/internal/standin/platformscenario"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

const (
	// startTime bounds the start of all hosts.
	startTime = 20 * time.Second
	// recoverTime is the operators' bound for a fleet to serve again.
	recoverTime = 15 * time.Second
	// grace is the time from SIGTERM until the platform kills a process.
	grace = 6 * time.Second
	// reloadTime is how long a sidecar is watched after a reload.
	reloadTime = 50 * time.Millisecond
	// lostAnswersPercent is the share of the store's calls that take effect without
	// an answer while it loses answers.
	lostAnswersPercent = 50
	// poll is how often a state is looked at.
	poll = 20 * time.Millisecond
)

// runner plays one plan.
type runner struct {
	deployment *platformscenario.Deployment
	// hosts has a lock for each host's process, so that no two faults start it.
	hosts []sync.Mutex

	mu      sync.Mutex
	wrong   []string
	version int
	// shared counts the faults of a kind that hold something at this moment.
	shared map[string]int
}

// Run runs one seed. An error means that the run could not be played.
func Run(options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	d, err := platformscenario.StartBehindProxies(options.Program, options.Directory, options.Hosts)
	if err != nil {
		return Report{}, err
	}
	defer d.Close()
	r := &runner{deployment: d, hosts: make([]sync.Mutex, options.Hosts), version: 1, shared: make(map[string]int)}
	d.Configure(r.version, 0)
	if !r.allReady(startTime) {
		return Report{}, fmt.Errorf("the hosts were not ready within %s", startTime)
	}
	load := d.StartLoad(options.Callers)
	faults := plan(options.Seed, options.Hosts, options.FaultPeriod)
	r.play(faults)
	r.checkRecovery()
	load.Stop()
	return Report{
		Seed: options.Seed, Faults: len(faults),
		Sent: load.Sent, Served: load.Served, Refused: load.Refused, Failed: load.Failed,
		Violations: append(r.wrong, load.Violations...),
	}, nil
}

// play runs the faults at their times and waits until the last has ended.
func (r *runner) play(faults []fault) {
	began := time.Now()
	var group sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(began.Add(f.at)))
		group.Go(func() { r.inflict(f) })
	}
	group.Wait()
}

func (r *runner) inflict(f fault) {
	proxies := r.deployment.Proxies(f.host)
	switch f.kind {
	case kill, terminate, freeze, reload:
		r.hosts[f.host].Lock()
		defer r.hosts[f.host].Unlock()
		r.signal(f)
	case gateFault:
		r.disturb(proxies.Inbound, f)
	case storeFault:
		r.disturb(proxies.Store, f)
	case serverFault:
		r.disturb(proxies.Server, f)
	case crash, replace:
		r.hosts[f.host].Lock()
		defer r.hosts[f.host].Unlock()
		r.restartServer(f)
	case storeDown:
		r.disturbStore(f, func(faults *store.Faults, on bool) { faults.Unavailable = on })
	case storeLoses:
		r.disturbStore(f, func(faults *store.Faults, on bool) {
			faults.LostResponsesPercent = 0
			if on {
				faults.LostResponsesPercent = lostAnswersPercent
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

// signal stops, freezes or reloads a sidecar and has it run again.
func (r *runner) signal(f fault) {
	switch f.kind {
	case reload:
		r.note(r.deployment.Signal(f.host, syscall.SIGHUP))
		if r.deployment.WaitExit(f.host, reloadTime) == nil {
			r.broken("a reload ended the sidecar of host %d", f.host)
			r.startNode(f.host)
		}
	case freeze:
		r.note(r.deployment.Signal(f.host, syscall.SIGSTOP))
		time.Sleep(f.lasts)
		r.note(r.deployment.Signal(f.host, syscall.SIGCONT))
	case terminate:
		r.note(r.deployment.Signal(f.host, syscall.SIGTERM))
		if err := r.deployment.WaitExit(f.host, grace); err != nil {
			r.broken("a sidecar outlived its grace: %v", err)
			r.note(r.deployment.Signal(f.host, syscall.SIGKILL))
			r.note(r.deployment.WaitExit(f.host, grace))
		}
		r.startNode(f.host)
	case kill:
		r.note(r.deployment.Signal(f.host, syscall.SIGKILL))
		r.note(r.deployment.WaitExit(f.host, grace))
		time.Sleep(f.lasts)
		r.startNode(f.host)
	}
}

// startNode starts a sidecar and waits until it takes signals: one that arrives
// before a process has begun to run its program ends it whatever the program does.
func (r *runner) startNode(host int) {
	r.note(r.deployment.StartNode(host))
	deadline := time.Now().Add(startTime)
	for !r.deployment.Responds(host) {
		if time.Now().After(deadline) {
			r.broken("the sidecar of host %d did not open its ports within %s", host, startTime)
			return
		}
		time.Sleep(poll)
	}
}

// disturb puts a fault on a proxy. The last of several that overlap ends it.
func (r *runner) disturb(proxy *faultproxy.Proxy, f fault) {
	variants := []faultproxy.Fault{faultproxy.Delay, faultproxy.Reset, faultproxy.Stall, faultproxy.StallResponses}
	r.hold(proxy.Address(), f.lasts, func(on bool) {
		if on {
			proxy.Set(variants[f.variant%len(variants)])
			return
		}
		proxy.Set(faultproxy.None)
	})
}

// disturbStore keeps a fault of the store switched on for a time.
func (r *runner) disturbStore(f fault, set func(faults *store.Faults, on bool)) {
	r.hold(string(f.kind), f.lasts, func(on bool) {
		r.deployment.Store.ChangeFaults(func(faults *store.Faults) { set(faults, on) })
	})
}

// hold keeps something switched on for a time.
func (r *runner) hold(name string, lasts time.Duration, set func(on bool)) {
	r.mu.Lock()
	r.shared[name]++
	set(true)
	r.mu.Unlock()
	time.Sleep(lasts)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shared[name]--; r.shared[name] == 0 {
		set(false)
	}
}

// restartServer ends a backend server, at once or after it said that it leaves, and
// starts another run.
func (r *runner) restartServer(f fault) {
	app := r.deployment.App(f.host)
	if f.kind == replace {
		app.Drain()
		time.Sleep(f.lasts)
		if late := app.LateRequests(); late > 0 {
			r.broken("%d requests reached the server of host %d after its leaving was acknowledged", late, f.host)
		}
	}
	r.deployment.StopApp(f.host)
	time.Sleep(f.lasts)
	r.note(r.deployment.StartApp(f.host))
}

// configure writes the next version, with one more route.
func (r *runner) configure() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.deployment.Configure(r.version, r.version)
	return r.version
}

func (r *runner) allReady(within time.Duration) bool {
	deadline := time.Now().Add(within)
	for i := range r.hosts {
		for !r.deployment.Ready(i) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(poll)
		}
	}
	return true
}

// note keeps an error of the run itself; it proves nothing about the sidecars, and
// is listed so that no run passes without having been played.
func (r *runner) note(err error) {
	if err != nil {
		r.broken("the run itself: %v", err)
	}
}

func (r *runner) broken(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, fmt.Sprintf(format, arguments...))
}
