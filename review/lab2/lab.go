//go:build review2

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/ports"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// Bounds of a small deployment, as on the users' pages.
const (
	drain       = 2 * time.Second
	configApply = 2 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

const (
	program  = "target/rosemaryladder-sidecar"
	template = "deploy/settings.ini"
)

// lab is a deployment of sidecars on loopback addresses.
type lab struct {
	startedAt time.Time
	directory string
	network   int
	store     *store.Server
	storeAddr string
	server    *http.Server
	machines  []*machine

	mu     sync.Mutex
	record *os.File
}

// machine is one host with a sidecar. Its instance is started by the case.
type machine struct {
	lab      *lab
	name     string
	ip       string
	zone     string
	service  string
	app      string
	outbound string
	inbound  string
	ready    string
	control  string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
	// instance is set by cases that keep it here.
	instance *instance
}

func newLab(recordPath string) (*lab, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is missing: run the build line of deploy/system.toml first", program)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{startedAt: time.Now(), directory: directory, network: 20 + rand.IntN(200), record: record, store: store.NewServer(1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddr = listener.Addr().String()
	l.server = &http.Server{Handler: l.store}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// note writes a line with the time since the start to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(l.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(l.record, line)
	if os.Getenv("LAB_VERBOSE") != "" {
		fmt.Println(line)
	}
}

// since returns the time of a moment in the record.
func (l *lab) since(t time.Time) float64 { return t.Sub(l.startedAt).Seconds() }

// add adds a machine and starts its sidecar.
func (l *lab) add(service string) (*machine, error) {
	number := len(l.machines)
	m := &machine{
		lab: l, name: fmt.Sprintf("sidecar-%d", number), ip: fmt.Sprintf("127.%d.%d.77", l.network, number+1),
		zone: []string{"svealand-a", "svealand-b"}[number%2], service: service,
	}
	picked, err := ports.Pick(m.ip, 5)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", m.ip, picked[i]) }
	m.app, m.outbound, m.inbound, m.ready, m.control = address(0), address(1), address(2), address(3), address(4)
	m.settings = filepath.Join(l.directory, m.name+".ini")
	if err := m.writeSettings(); err != nil {
		return nil, err
	}
	l.machines = append(l.machines, m)
	return m, m.start()
}

// writeSettings renders the template of the deploy file, as the platform does.
func (m *machine) writeSettings() error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": m.name, "ip": m.ip, "zone": m.zone, "service": m.service, "app": m.app, "limits.linkMbps": "1000.0",
		"listen.outbound": m.outbound, "listen.inbound": m.inbound, "listen.ready": m.ready, "listen.control": m.control,
		"platform.address": m.lab.storeAddr, "platform.minTtl": "1000ms",
		"bounds.configApply": "2000ms", "bounds.stabilityWindow": "3000ms", "bounds.grace": "6s", "bounds.retryBudgetRatio": "0.2",
		"bounds.budgetWindow": "10s", "bounds.retryBudgetSlack": "60",
	}
	rendered := strings.ReplaceAll(string(text), "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "svealand-a:svealand,svealand-b:svealand")
	// The other sections have no value on a deployment without tenants.
	for _, section := range []string{"bounds.quotaWindow", "bounds.quotaOverage", "bounds.revokeFailClosed"} {
		begin, end := strings.Index(rendered, "{{#"+section+"}}"), strings.Index(rendered, "{{/"+section+"}}")
		if begin >= 0 && end > begin {
			rendered = rendered[:begin] + rendered[end+len("{{/"+section+"}}"):]
		}
	}
	for name, value := range values {
		rendered = strings.ReplaceAll(rendered, "{{"+name+"}}", value)
	}
	if strings.Contains(rendered, "{{") {
		return fmt.Errorf("a placeholder of %s has no value:\n%s", template, rendered)
	}
	// The platform replaces the file at once.
	next := m.settings + ".next"
	if err := os.WriteFile(next, []byte(rendered), 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settings)
}

// start starts the sidecar with the command of the deploy file.
func (m *machine) start() error {
	out, err := os.OpenFile(filepath.Join(m.lab.directory, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.process = exec.Command(program)
	m.process.Env = append(os.Environ(), "ROSEMARYLADDER_CONFIG="+m.settings)
	m.process.Stdout, m.process.Stderr = out, out
	if err := m.process.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(m.process, m.exited)
	return nil
}

func (m *machine) signal(s syscall.Signal) error { return m.process.Process.Signal(s) }

// kill ends the sidecar with SIGKILL and waits for its end.
func (m *machine) kill() {
	_ = m.process.Process.Kill()
	<-m.exited
}

// awaitReady waits until the sidecar answers its readiness check with 200.
func (m *machine) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ready + "/api/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(m.name + " did not become ready")
}

func (l *lab) awaitReady() error {
	for _, m := range l.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// service is one service of a configuration.
func serviceJSON(name string) string {
	return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}`, name)
}

// configure writes a configuration as the operator does. Each route has the prefix
// /NAME/ and the name r-NAME.
func (l *lab) configure(version int, services []string, routes ...string) {
	var list []string
	for _, s := range services {
		list = append(list, serviceJSON(s))
	}
	l.store.State().Write("op/config", []byte(fmt.Sprintf(
		`{"version":"r%d","services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"virtualHosts":[{"host":"jepu9.example","pathMatches":[%s]}]}`,
		version, strings.Join(list, ","), strings.Join(routes, ","))))
	l.note("operator: configuration r%d acknowledged", version)
}

func route(name, kind, service string) string {
	return fmt.Sprintf(`{"name":"r-%s","prefix":"/%s/","kind":%q,"timeout":"1000ms","targetLatency":"500ms","priority":1,"service":%q,"maxAttempts":2,"public":false}`, name, name, kind, service)
}

func (l *lab) close() {
	for _, m := range l.machines {
		if m.process != nil {
			m.kill()
		}
		if os.Getenv("LAB_LOGS") != "" {
			if text, err := os.ReadFile(filepath.Join(l.directory, m.name+".log")); err == nil {
				fmt.Printf("== %s\n%s", m.name, text)
			}
		}
	}
	_ = l.server.Close()
	_ = l.record.Close()
	_ = os.RemoveAll(l.directory)
}
