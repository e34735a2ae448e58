// Package platformscenario runs a deployment on the users' platform as separate
// processes: sidecars, with stand-ins for the store, the backend servers and the
// callers in the process that drives them.
package platformscenario

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/app"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

const (
	// Service is the service of all backend servers.
	Service = "orders"
	// PoisonPath is the path of requests that end the server which runs them.
	PoisonPath = "/post/poison"
)

// host is one host with a sidecar and a backend server.
type host struct {
	ip       string
	settings string
	front    string
	ready    string
	app      *app.App
	options  app.Options
	process  *exec.Cmd
	// exited is closed when the process has ended.
	exited  chan struct{}
	proxies Proxies
}

// Deployment is a store and hosts in two failure domains.
type Deployment struct {
	Store   *store.Server
	program string
	folder  string
	// proxied is set when fault proxies stand around each sidecar.
	proxied bool
	// number keeps the addresses of deployments apart that run at the same time, also
	// in other processes: the address of a server that is away would be picked there.
	number  uint32
	hosts   []*host
	server  *http.Server
	address string

	mu   sync.Mutex
	runs map[string]int
}

// deployments counts the deployments of the process.
var deployments atomic.Uint32

const (
	// firstNetwork and networks are the second bytes of the loopback addresses that
	// deployments use in turn.
	firstNetwork = 20
	networks     = 200
	// lastByte keeps them apart from the fleets of the earlier daemon, whose hosts
	// count from 1.
	lastByte = 200
)

// Start starts a deployment of hosts that run a program.
func Start(program, folder string, hosts int) (*Deployment, error) {
	return start(program, folder, hosts, false)
}

// StartBehindProxies starts a deployment with fault proxies around each sidecar.
func StartBehindProxies(program, folder string, hosts int) (*Deployment, error) {
	return start(program, folder, hosts, true)
}

func start(program, folder string, hosts int, proxied bool) (*Deployment, error) {
	d := &Deployment{Store: store.NewServer(uint64(hosts)), program: program, folder: folder, proxied: proxied, number: uint32(os.Getpid()) + deployments.Add(1), runs: make(map[string]int)}
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

// addressesOfHost is the number of addresses that a host uses, those of its proxies
// included: a proxy that took any free address could take one that was picked for
// another part of the host and is not in use yet.
const addressesOfHost = 9

// freeAddresses returns addresses of the IP that the kernel picked. All are held
// until the last is picked, so that none is picked twice. The lock keeps a process
// that starts meanwhile from holding a copy of them until it has begun.
func freeAddresses(ip string) ([addressesOfHost]string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var addresses [addressesOfHost]string
	for i := range addresses {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return addresses, err
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

func (d *Deployment) addHost(number int) error {
	h := &host{ip: fmt.Sprintf("127.%d.%d.%d", firstNetwork+d.number%networks, number, lastByte)}
	addresses, err := freeAddresses(h.ip)
	if err != nil {
		return err
	}
	h.front, h.ready = addresses[0], addresses[2]
	_, metrics, err := net.SplitHostPort(addresses[5])
	if err != nil {
		return err
	}
	server, store, advertise := addresses[4], d.address, addresses[1]
	if d.proxied {
		if h.proxies, err = startProxies(proxyAddresses{Inbound: addresses[6], Store: addresses[7], Server: addresses[8]}, addresses[1], d.address, addresses[4]); err != nil {
			return err
		}
		server, store, advertise = h.proxies.Server.Address(), h.proxies.Store.Address(), h.proxies.Inbound.Address()
	}
	h.settings = filepath.Join(d.folder, fmt.Sprintf("host-%d.ini", number))
	text := fmt.Sprintf(`[node]
host = host-%d
ip = %s
failure_domain = domain-%d
regions = domain-0:region,domain-1:region
service = %s
server = %s
[listen]
front = %s
gate = %s
advertise = %s
ready = %s
announce = %s
metrics = %s
[store]
address = %s
[bounds]
retry_slack = 100
`, number, h.ip, number%2, Service, server, h.front, addresses[1], advertise, h.ready, addresses[3], metrics, store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	h.options = app.Options{
		ID: fmt.Sprintf("i-%d", number), Service: Service, Address: addresses[4], CheckInAddress: addresses[3],
		Slots: 4, ServiceTime: 20 * time.Millisecond, PoisonPath: PoisonPath, OnRun: d.ran,
	}
	if d.proxied {
		h.options.SentAt = h.proxies.Server.LastSent
	}
	d.hosts = append(d.hosts, h)
	if h.app, err = app.Start(h.options); err != nil {
		return err
	}
	return d.StartNode(number)
}

// Proxies returns the fault proxies around the sidecar of a host.
func (d *Deployment) Proxies(number int) Proxies { return d.hosts[number].proxies }

// Hosts returns the number of hosts.
func (d *Deployment) Hosts() int { return len(d.hosts) }

// OutboundAddress returns the address of a host that takes the requests of callers.
func (d *Deployment) OutboundAddress(number int) string { return d.hosts[number].front }

// LogFile returns the file that holds the log of a host's sidecar.
func (d *Deployment) LogFile(number int) string { return d.hosts[number].settings + ".log" }

// endTime bounds the end of a process that was killed or told to stop: the
// platform's grace.
const endTime = 6 * time.Second

// StartNode starts the sidecar of a host, once an earlier one has ended.
func (d *Deployment) StartNode(number int) error {
	h := d.hosts[number]
	if h.process != nil {
		// A process that was killed holds its addresses until it has ended.
		if err := d.WaitExit(number, endTime); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(d.LogFile(number), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.process = exec.Command(d.program, h.settings)
	h.process.Stdout, h.process.Stderr = out, out
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan<- struct{}) {
		// How a process ended shows in its log.
		_ = process.Wait()
		close(exited)
	}(h.process, h.exited)
	return nil
}

// Signal sends a signal to the sidecar of a host.
func (d *Deployment) Signal(number int, signal syscall.Signal) error {
	return d.hosts[number].process.Process.Signal(signal)
}

// WaitExit waits until the sidecar of a host has ended.
func (d *Deployment) WaitExit(number int, timeout time.Duration) error {
	select {
	case <-d.hosts[number].exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("the sidecar of host %d still runs after %s", number, timeout)
	}
}

// Responds reports whether the sidecar of a host answers at all.
func (d *Deployment) Responds(number int) bool {
	_, err := d.askReady(number)
	return err == nil
}

// Ready reports whether the sidecar of a host takes requests.
func (d *Deployment) Ready(number int) bool {
	status, err := d.askReady(number)
	return err == nil && status == http.StatusOK
}

func (d *Deployment) askReady(number int) (status int, err error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.hosts[number].ready + "/api/ready")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// Configure writes a version of the configuration with an idempotent route and
// one that is not, and the given number of further routes.
func (d *Deployment) Configure(version, further int) {
	routes := `{"name":"get","prefix":"/get/","kind":"safe","timeout":"2s","targetLatency":"500ms","priority":1,"service":"orders","maxAttempts":3},
{"name":"post","prefix":"/post/","kind":"unsafe","timeout":"2s","targetLatency":"500ms","priority":1,"service":"orders","maxAttempts":3}`
	for i := range further {
		routes += fmt.Sprintf(`,{"name":"more-%d","prefix":"/more-%d/","kind":"safe","timeout":"1s","targetLatency":"500ms","priority":2,"service":"orders","maxAttempts":1}`, i, i)
	}
	d.Store.State().Write("op/config", []byte(fmt.Sprintf(`{"version":"r%d","services":[{"name":"orders","healthPath":"/healthz","maxConnections":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3s","idleTimeout":"15s"},
"virtualHosts":[{"host":"orders.example","pathMatches":[%s]}]}`, version, routes)))
}

// App returns the backend server of a host.
func (d *Deployment) App(number int) *app.App { return d.hosts[number].app }

// StopApp ends the backend server of a host at once; StartApp starts another run.
func (d *Deployment) StopApp(number int) { d.hosts[number].app.Stop() }

// StartApp starts a new run of the backend server of a host.
func (d *Deployment) StartApp(number int) error {
	h := d.hosts[number]
	h.options.ID += "x"
	var err error
	h.app, err = app.Start(h.options)
	return err
}

// Crashed returns the hosts whose backend server was ended by a request.
func (d *Deployment) Crashed() []int {
	var crashed []int
	for number, h := range d.hosts {
		if h.app.Crashed() {
			crashed = append(crashed, number)
		}
	}
	return crashed
}

func (d *Deployment) ran(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
}

// Runs returns how often a request ran.
func (d *Deployment) Runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// Close ends everything that the deployment started.
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
