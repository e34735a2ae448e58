package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/dial"
	"rosemaryladder.dev/rosemaryladder/internal/operator"
	"rosemaryladder.dev/rosemaryladder/internal/standin/ports"
)

// Options configure a fleet.
type Options struct {
	Deployment Deployment
	// Bin is the directory of the programs.
	Bin string
	// Dir is the directory that receives the settings files and run logs.
	Dir string
	// Batch is the distribution batch setting of the nodes.
	Batch time.Duration
	// ServiceTime is the time that a backend server takes for a call.
	ServiceTime time.Duration
	// Direct omits the link stand-in, and with it latency and bandwidth limits.
	Direct bool
	// ColdStart is how long a backend server stays in state starting.
	ColdStart time.Duration
}

// Fleet is a running deployment.
type Fleet struct {
	Options Options
	Store   *Process
	Link    *Process
	Hosts   []*Host

	network    int
	ports      hostPorts
	storeAddr  string
	storeAdmin string
	linkAddr   string
	linkAdmin  string
}

// hostPorts are the ports that every host uses on its IP.
type hostPorts struct{ call, control, operator, announce, server, store int }

// Host is one host with its node and its backend server.
type Host struct {
	Name          string
	IP            string
	Region        string
	FailureDomain string
	Service       Service
	// RunLog is the file to which the backend server appends each run.
	RunLog string
	Node   *Process
	Server *Process

	ports hostPorts

	clientOnce sync.Once
	client     *operator.Client
}

// CallAddress returns the address of the node's call port.
func (h *Host) CallAddress() string { return net.JoinHostPort(h.IP, strconv.Itoa(h.ports.call)) }

// OperatorAddress returns the address of the node's operator port.
func (h *Host) OperatorAddress() string {
	return net.JoinHostPort(h.IP, strconv.Itoa(h.ports.operator))
}

// ServerAddress returns the address of the backend server.
func (h *Host) ServerAddress() string { return net.JoinHostPort(h.IP, strconv.Itoa(h.ports.server)) }

// Operator returns a client of the node's operator port.
func (h *Host) Operator() *operator.Client {
	h.clientOnce.Do(func() { h.client = operator.NewClient(h.OperatorAddress()) })
	return h.client
}

// fleets is the number of fleets created by this process.
var fleets atomic.Int64

// New prepares a fleet; Start runs it. Each fleet of a machine uses a separate range
// of loopback addresses, derived from the process id and a counter.
func New(options Options) (*Fleet, error) {
	index := os.Getpid() + int(fleets.Add(1))
	f := &Fleet{Options: options, network: 20 + index%200}
	placements := options.Deployment.placements(f.network)
	picked, err := pickPorts(placements[0].ip)
	if err != nil {
		return nil, err
	}
	f.ports = picked
	f.storeAddr = f.standinAddress(1, picked.store)
	f.storeAdmin = f.standinAddress(2, picked.call)
	f.linkAddr = f.standinAddress(3, picked.call)
	f.linkAdmin = f.standinAddress(4, picked.call)
	for _, placement := range placements {
		host, err := f.prepareHost(placement)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, host)
	}
	f.Store = newProcess("store", f.program("standin"), "store", "--listen", f.storeAddr, "--admin", f.storeAdmin)
	f.Link = newProcess("link", f.linkArgs()...)
	return f, nil
}

// standinAddress returns the address of a stand-in that is not a host.
func (f *Fleet) standinAddress(index, port int) string {
	return fmt.Sprintf("127.%d.100.%d:%d", f.network, index, port)
}

func (f *Fleet) program(name string) string { return filepath.Join(f.Options.Bin, name) }

func (f *Fleet) linkArgs() []string {
	args := []string{f.program("standin"), "link", "--address", f.linkAddr, "--admin", f.linkAdmin}
	seen := make(map[string]bool)
	for _, placement := range f.Options.Deployment.placements(f.network) {
		prefix := placement.ip[:lastDot(placement.ip)] + ".0/24"
		if !seen[prefix] {
			args = append(args, "--place", prefix+"="+placement.region+"/"+placement.domain)
		}
		seen[prefix] = true
	}
	region := f.Options.Deployment.Regions[0]
	args = append(args, "--place", fmt.Sprintf("127.%d.100.1/32=%s/%s", f.network, region.Name, region.Domains[0]))
	return append(args,
		"--kind", fmt.Sprintf("%d=control", f.ports.control),
		"--kind", fmt.Sprintf("%d=call", f.ports.call),
		"--kind", fmt.Sprintf("%d=operator", f.ports.operator),
		"--kind", fmt.Sprintf("%d=store", f.ports.store))
}

func lastDot(ip string) int {
	for i := len(ip) - 1; i >= 0; i-- {
		if ip[i] == '.' {
			return i
		}
	}
	return 0
}

// prepareHost writes the settings of a host and prepares its processes.
func (f *Fleet) prepareHost(placement placement) (*Host, error) {
	h := &Host{Name: placement.name, IP: placement.ip, Region: placement.region, FailureDomain: placement.domain, Service: placement.service, ports: f.ports}
	h.RunLog = filepath.Join(f.Options.Dir, placement.name+".runs")
	path := filepath.Join(f.Options.Dir, placement.name+".ini")
	if err := os.WriteFile(path, []byte(f.settings(h)), 0o600); err != nil {
		return nil, err
	}
	h.Node = newProcess(placement.name, f.program("rosemaryladderd"), path)
	h.Server = newProcess(placement.name+"-server", f.program("standin"), "backend",
		"--service", placement.service.Name,
		"--address", h.ServerAddress(),
		"--announce", net.JoinHostPort(h.IP, strconv.Itoa(f.ports.announce)),
		"--slots", strconv.Itoa(f.Options.Deployment.Slots),
		"--connections", strconv.Itoa(f.Options.Deployment.Connections),
		"--service-time", f.Options.ServiceTime.String(),
		"--cold-start", f.Options.ColdStart.String(),
		"--run-log", h.RunLog)
	return h, nil
}

// settings returns the content of a host's settings file. The seeds are the first
// host of each failure domain.
func (f *Fleet) settings(h *Host) string {
	proxy := f.linkAddr
	if f.Options.Direct {
		proxy = ""
	}
	seeds := ""
	for domain := 1; domain <= 4; domain++ {
		if domain > 1 {
			seeds += ","
		}
		seeds += fmt.Sprintf("127.%d.%d.1:%d", f.network, domain, f.ports.control)
	}
	return fmt.Sprintf(`[node]
host = %s
ip = %s
region = %s
failure_domain = %s
call_port = %d
control_port = %d
operator_port = %d
announce_port = %d
[store]
address = %s
region = %s
[seeds]
nodes = %s
[network]
egress_proxy = %s
[distribution]
batch = %s
`, h.Name, h.IP, h.Region, h.FailureDomain, f.ports.call, f.ports.control, f.ports.operator, f.ports.announce,
		f.storeAddr, f.Options.Deployment.StoreRegion, seeds, proxy, f.Options.Batch)
}

// StoreAddress returns the address of the store.
func (f *Fleet) StoreAddress() string { return f.storeAddr }

// Dialer returns a dialer that connects from the IP of a host, through the link
// stand-in unless Options.Direct is set.
func (f *Fleet) Dialer(host *Host) dial.Dialer {
	if f.Options.Direct {
		return dial.Dialer{LocalIP: host.IP}
	}
	return dial.Dialer{LocalIP: host.IP, EgressProxy: f.linkAddr}
}

// Start starts every process and waits until every node is ready and lists every
// backend server as ready.
func (f *Fleet) Start(ctx context.Context) error {
	infrastructure := []*Process{f.Store, f.Link}
	if f.Options.Direct {
		infrastructure = infrastructure[:1]
	}
	for _, process := range infrastructure {
		if err := process.Start(); err != nil {
			return err
		}
	}
	if err := waitListening(ctx, f.storeAddr); err != nil {
		return err
	}
	for _, host := range f.Hosts {
		if err := host.Node.Start(); err != nil {
			return err
		}
		if err := host.Server.Start(); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// WaitReady waits until every node is ready and lists all hosts as alive with a ready
// backend server. It returns an error if a node exits or the context ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, host := range f.Hosts {
		if err := f.waitHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitHost(ctx context.Context, host *Host) error {
	client := host.Operator()
	for {
		report, err := client.Host(ctx, "")
		if err == nil && report.Ready && report.Server == "ready" {
			members, err := client.Members(ctx)
			if err == nil && f.allReady(members) {
				return nil
			}
		}
		if host.Node.Wait(0) {
			return fmt.Errorf("the node of host %s exited with status %d\n%s", host.Name, host.Node.ExitCode(), host.Node.Output())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("host %s is not ready: report %+v, error %v\n%s", host.Name, report, err, host.Node.Output())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *Fleet) allReady(members []operator.Member) bool {
	ready := 0
	for _, member := range members {
		if member.State == "alive" && member.Server == "ready" {
			ready++
		}
	}
	return ready == len(f.Hosts)
}

// Host returns a host by name, or nil if there is none.
func (f *Fleet) Host(name string) *Host {
	for _, host := range f.Hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

// HostsInRegion returns the hosts of a region.
func (f *Fleet) HostsInRegion(region string) []*Host {
	var hosts []*Host
	for _, host := range f.Hosts {
		if host.Region == region {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Stop kills every process and waits for those of the hosts to exit.
func (f *Fleet) Stop() {
	for _, host := range f.Hosts {
		host.Node.Signal(syscall.SIGKILL)
		host.Server.Signal(syscall.SIGKILL)
	}
	f.Store.Signal(syscall.SIGKILL)
	f.Link.Signal(syscall.SIGKILL)
	for _, host := range f.Hosts {
		host.Node.Wait(5 * time.Second)
		host.Server.Wait(5 * time.Second)
	}
}

// pickPorts returns ports that are free on one IP. They are free on the other IPs of
// the fleet too, because no other fleet uses those.
func pickPorts(ip string) (hostPorts, error) {
	p, err := ports.Pick(ip, 6)
	if err != nil {
		return hostPorts{}, err
	}
	return hostPorts{p[0], p[1], p[2], p[3], p[4], p[5]}, nil
}

func waitListening(ctx context.Context, address string) error {
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("nothing listens on %s: %w", address, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
