package platformscenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/app"
	"rosemaryladder.dev/rosemaryladder/internal/standin/ports"
)

// host is one host with a sidecar and a backend server.
type host struct {
	ip              string
	settingsFile    string
	outboundAddress string
	readyAddress    string
	metricsAddress  string
	// addresses are those on which the sidecar listens.
	addresses []string
	app       *app.App
	options   app.Options
	process   *exec.Cmd
	// exited is closed when the process has exited.
	exited  chan struct{}
	proxies Proxies
}

// addressesPerHost is the number of addresses of a host, including those of its
// proxies. A proxy that listened on any free port could take one that is reserved
// for another part of the host and not yet in use.
const addressesPerHost = 9

// freeAddresses returns addresses on ip with free ports.
func freeAddresses(ip string) ([addressesPerHost]string, error) {
	var addresses [addressesPerHost]string
	picked, err := ports.Pick(ip, addressesPerHost)
	if err != nil {
		return addresses, err
	}
	for i, port := range picked {
		addresses[i] = net.JoinHostPort(ip, strconv.Itoa(port))
	}
	return addresses, nil
}

func (d *Deployment) addHost(number int) error {
	h := &host{ip: fmt.Sprintf("127.%d.%d.%d", firstNetwork+d.networkIndex%networkCount, number, lastByte)}
	addresses, err := freeAddresses(h.ip)
	if err != nil {
		return err
	}
	h.outboundAddress, h.readyAddress, h.metricsAddress = addresses[0], addresses[2], addresses[5]
	h.addresses = []string{addresses[0], addresses[1], addresses[2], addresses[3], addresses[5]}
	_, metrics, err := net.SplitHostPort(addresses[5])
	if err != nil {
		return err
	}
	server, store, advertise := addresses[4], d.address, addresses[1]
	if d.behindProxies {
		if h.proxies, err = startProxies(proxyAddresses{Inbound: addresses[6], Store: addresses[7], Server: addresses[8]}, addresses[1], d.address, addresses[4]); err != nil {
			return err
		}
		server, store, advertise = h.proxies.Server.Address(), h.proxies.Store.Address(), h.proxies.Inbound.Address()
	}
	h.settingsFile = filepath.Join(d.directory, fmt.Sprintf("host-%d.ini", number))
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
[callers]
idle_limit_notice = 200ms
[bounds]
retry_slack = 100
`, number, h.ip, number%2, Service, server, h.outboundAddress, addresses[1], advertise, h.readyAddress, addresses[3], metrics, store)
	if d.keyed {
		text += "revoke = 5s\nrevoke_fail_closed = true\n"
	}
	if err := os.WriteFile(h.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	h.options = app.Options{
		ID: fmt.Sprintf("i-%d", number), Service: Service, Address: addresses[4], AnnouncedAddress: server, CheckInAddress: addresses[3],
		Slots: 4, ServiceTime: 20 * time.Millisecond, PoisonPath: PoisonPath, OnRun: d.recordRun, OnRequest: d.checkIdentity,
	}
	if d.behindProxies {
		h.options.SentAt = h.proxies.Server.LastSent
	}
	d.hosts = append(d.hosts, h)
	if h.app, err = app.Start(h.options); err != nil {
		return err
	}
	return d.StartNode(number)
}
