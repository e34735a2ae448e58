// Package platformscenario runs a deployment on the users' platform. Each sidecar is
// a separate process; the stand-ins for the store, the backend servers and the
// callers run in the process that drives the deployment.
package platformscenario

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/app"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

const (
	// Service is the name of the service that all backend servers offer.
	Service = "orders"
	// PoisonPath is the path of requests that crash the backend server running them.
	PoisonPath = "/post/poison"
)

// Deployment is a store and a set of hosts spread over two failure domains.
type Deployment struct {
	Store *store.Server
	// IdleTimeout is the limit for callers' idle connections in the configurations that
	// Configure writes.
	IdleTimeout time.Duration
	// Timeout is the timeout of the routes of the load in these configurations.
	Timeout   time.Duration
	program   string
	directory string
	// behindProxies is set when each sidecar is connected through fault proxies.
	behindProxies bool
	// keyed is set when the routes of the load need a key, and nodes without a confirmation
	// of the store refuse it.
	keyed bool
	// networkIndex separates the address ranges of deployments that run at the same
	// time, also in other processes. Otherwise another deployment could be given the
	// address of a server that is temporarily stopped.
	networkIndex uint32
	hosts        []*host
	server       *http.Server
	address      string

	mu   sync.Mutex
	runs map[string]int
	// identityErrors are the requests that reached a backend server with a key, or with
	// another workspace than that of their key.
	identityErrors []string
}

// defaultIdleTimeout and defaultTimeout are the initial values of Deployment.IdleTimeout
// and Deployment.Timeout.
const (
	defaultIdleTimeout = 15 * time.Second
	defaultTimeout     = 2 * time.Second
)

// deployments is the number of deployments started by this process.
var deployments atomic.Uint32

const (
	// firstNetwork and networkCount define the range of the second byte of the
	// loopback addresses. Deployments cycle through it.
	firstNetwork = 20
	networkCount = 200
	// lastByte is the last byte of the addresses. It differs from those of the fleets
	// of the older daemon, whose hosts are numbered from 1.
	lastByte = 200
)

// Start starts a deployment of the given number of hosts, each running the sidecar
// binary program. Settings and logs are written to directory.
func Start(program, directory string, hosts int) (*Deployment, error) {
	return start(program, directory, hosts, false, false)
}

// StartBehindProxies is like Start and connects each sidecar through fault proxies.
func StartBehindProxies(program, directory string, hosts int) (*Deployment, error) {
	return start(program, directory, hosts, true, false)
}

// StartKeyedBehindProxies is like StartBehindProxies, but the load sends the key of a
// workspace, which the configurations require.
func StartKeyedBehindProxies(program, directory string, hosts int) (*Deployment, error) {
	return start(program, directory, hosts, true, true)
}

func start(program, directory string, hosts int, behindProxies, keyed bool) (*Deployment, error) {
	d := &Deployment{Store: store.NewServer(uint64(hosts)), program: program, directory: directory, behindProxies: behindProxies, keyed: keyed, networkIndex: uint32(os.Getpid()) + deployments.Add(1), runs: make(map[string]int), IdleTimeout: defaultIdleTimeout, Timeout: defaultTimeout}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	d.server = &http.Server{Handler: d.Store}
	go func() { _ = d.server.Serve(listener) }()
	for i := range hosts {
		if err := d.addHost(i); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Proxies returns the fault proxies of a host's sidecar.
func (d *Deployment) Proxies(number int) Proxies { return d.hosts[number].proxies }

// Hosts returns the number of hosts.
func (d *Deployment) Hosts() int { return len(d.hosts) }

// OutboundAddress returns the address on which a host accepts requests of callers.
func (d *Deployment) OutboundAddress(number int) string { return d.hosts[number].outboundAddress }

// LogFile returns the path of the log of a host's sidecar.
func (d *Deployment) LogFile(number int) string { return d.hosts[number].settingsFile + ".log" }

// exitTimeout is the maximum time for a killed or terminated process to exit: the
// platform's termination grace period.
const exitTimeout = 6 * time.Second

// StartNode starts the sidecar of a host after the previous one has exited. It
// returns an error if that takes longer than exitTimeout.
func (d *Deployment) StartNode(number int) error {
	h := d.hosts[number]
	if h.process != nil {
		// A killed process holds its addresses until it has exited.
		if err := d.WaitExit(number, exitTimeout); err != nil {
			return err
		}
	}
	logFile, err := os.OpenFile(d.LogFile(number), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	h.process = exec.Command(d.program, h.settingsFile)
	h.process.Stdout, h.process.Stderr = logFile, logFile
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan<- struct{}) {
		// The log of the process shows why it exited.
		_ = process.Wait()
		close(exited)
	}(h.process, h.exited)
	return nil
}

// Signal sends a signal to the sidecar of a host.
func (d *Deployment) Signal(number int, signal syscall.Signal) error {
	return d.hosts[number].process.Process.Signal(signal)
}

// WaitExit waits until the sidecar of a host has exited. It returns an error after
// the timeout.
func (d *Deployment) WaitExit(number int, timeout time.Duration) error {
	select {
	case <-d.hosts[number].exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("the sidecar of host %d is still running after %s", number, timeout)
	}
}

// GiveToService changes the service in the settings of a host, without a signal.
func (d *Deployment) GiveToService(number int, service string) error {
	path := d.hosts[number].settingsFile
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, bytes.Replace(text, []byte("service = "+Service), []byte("service = "+service), 1), 0o600)
}

// SetGrace changes the grace in the settings of a host and has its sidecar read them.
func (d *Deployment) SetGrace(number int, grace time.Duration) error {
	file, err := os.OpenFile(d.hosts[number].settingsFile, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	// The settings end with the section of the grace.
	if _, err := fmt.Fprintf(file, "grace = %s\n", grace); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return d.Signal(number, syscall.SIGHUP)
}

// Responds reports whether the sidecar of a host responds to a readiness check, with
// any status.
func (d *Deployment) Responds(number int) bool {
	_, err := d.readyStatus(number)
	return err == nil
}

// Ready reports whether the sidecar of a host accepts requests.
func (d *Deployment) Ready(number int) bool {
	status, err := d.readyStatus(number)
	return err == nil && status == http.StatusOK
}

func (d *Deployment) readyStatus(number int) (status int, err error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.hosts[number].readyAddress + "/api/ready")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// Configure writes a version of the configuration with one idempotent route, one
// non-idempotent route and the given number of extra routes.
func (d *Deployment) Configure(version, extraRoutes int) {
	timeout := d.Timeout.Milliseconds()
	routes := fmt.Sprintf(`{"name":"get","prefix":"/get/","kind":"safe","timeout":"%dms","targetLatency":"500ms","priority":1,"service":"orders","maxAttempts":3},
{"name":"post","prefix":"/post/","kind":"unsafe","timeout":"%dms","targetLatency":"500ms","priority":1,"service":"orders","maxAttempts":3}`, timeout, timeout)
	for i := range extraRoutes {
		routes += fmt.Sprintf(`,{"name":"more-%d","prefix":"/more-%d/","kind":"safe","timeout":"1s","targetLatency":"500ms","priority":2,"service":"orders","maxAttempts":1,"public":true}`, i, i)
	}
	workspaces := ""
	if d.keyed {
		workspaces = fmt.Sprintf(`"tenants":[{"name":%q,"apiKeys":[%q],"priority":0,"ratePerS":%d,"burst":%d}],`, loadWorkspace, loadKey, loadRateLimit, loadRateLimit)
	}
	d.Store.State().Write("op/config", []byte(fmt.Sprintf(`{"version":"r%d","services":[{"name":"orders","healthPath":"/healthz","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"%dms"},%s
"virtualHosts":[{"host":"orders.example","pathMatches":[%s]}]}`, version, d.IdleTimeout.Milliseconds(), workspaces, routes)))
}

// App returns the backend server of a host.
func (d *Deployment) App(number int) *app.App { return d.hosts[number].app }

// StopApp stops the backend server of a host immediately.
func (d *Deployment) StopApp(number int) { d.hosts[number].app.Stop() }

// StartApp starts a new backend server on a host, with a new instance id.
func (d *Deployment) StartApp(number int) error {
	h := d.hosts[number]
	h.options.ID += "x"
	var err error
	h.app, err = app.Start(h.options)
	return err
}

// StartSilentApp is like StartApp, but the backend server sends no check-ins.
func (d *Deployment) StartSilentApp(number int) error {
	h := d.hosts[number]
	h.options.Silent = true
	defer func() { h.options.Silent = false }()
	return d.StartApp(number)
}

// Crashed returns the hosts whose backend server was crashed by a request.
func (d *Deployment) Crashed() []int {
	var crashed []int
	for number, h := range d.hosts {
		if h.app.Crashed() {
			crashed = append(crashed, number)
		}
	}
	return crashed
}

func (d *Deployment) recordRun(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

// Runs returns how many times a request was run by the backend servers.
func (d *Deployment) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// Close stops all processes, servers and proxies of the deployment.
func (d *Deployment) Close() {
	for i, h := range d.hosts {
		if h.process != nil {
			_ = h.process.Process.Kill()
			_ = d.WaitExit(i, 5*time.Second)
		}
		if h.app != nil {
			h.app.Stop()
		}
		h.proxies.close()
	}
	_ = d.server.Close()
}
