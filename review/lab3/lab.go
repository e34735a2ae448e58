//go:build review3

// Command lab3 plays the scripted cases of the third review: it starts sidecars as
// separate processes, with the settings of a small deployment, and runs the store, the
// backend servers and the callers as stand-ins in its own process.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/ports"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// program is the sidecar as the build line of the deploy file makes it.
const program = "target/rosemaryladder-sidecar"

// storeAnswerMs is how long the store of a small deployment takes for an answer.
const storeAnswerMs = 4

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// node is one host: a sidecar process and the addresses that it listens on.
type node struct {
	name, ip, zone, service       string
	outbound, inbound, ready      string
	control, app, metrics, config string
	process                       *exec.Cmd
	exited                        chan struct{}
	startedAt                     time.Time
	// gone is set once the machine is removed.
	gone atomic.Bool

	mu       sync.Mutex
	instance *instance
}

// current returns the instance beside the node.
func (n *node) current() *instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instance
}

// lab is a small deployment.
type lab struct {
	directory string
	trouble   bool
	started   time.Time
	store     *store.Server
	storeAddr string
	server    *http.Server
	nodes     []*node
	transport *http.Transport
	// linkMbps is the rate of the nodes' links.
	linkMbps string

	mu   sync.Mutex
	file *os.File
}

// newLab starts the store of a deployment. Files of the deployment lie in a temporary
// folder, the record in the folder of the case.
func newLab(caseFolder string) (*lab, error) {
	directory, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{
		directory: directory, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), file: file,
		store: store.NewServer(1), transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64},
		linkMbps: "1000.0",
	}
	l.store.SetFaults(store.Faults{DelayMs: storeAnswerMs, NoEra: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddr = listener.Addr().String()
	l.server = &http.Server{Handler: l.store}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// note writes a line into the record.
func (l *lab) note(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, n := range l.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
		if i := n.current(); i != nil {
			i.exit()
		}
	}
	_ = l.server.Close()
	_ = os.RemoveAll(l.directory)
	_ = l.file.Close()
}

// addNode prepares a host with the settings that the template of the deploy file gives
// on a small deployment.
func (l *lab) addNode(zone, service string) (*node, error) {
	number := len(l.nodes) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, (os.Getpid()/128)%250+1, number)
	picked, err := ports.Pick(ip, 6)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, picked[i]) }
	n := &node{
		name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: ip, zone: zone, service: service,
		outbound: address(0), inbound: address(1), ready: address(2), control: address(3), app: address(4), metrics: address(5),
	}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return nil, err
	}
	n.config = filepath.Join(l.directory, n.name+".ini")
	text, err := render(string(template), map[string]string{
		"node": n.name, "ip": ip, "zone": zone, "service": service, "app": n.app, "limits.linkMbps": l.linkMbps,
		"regions":         "svealand-a:svealand,gotaland-a:gotaland,svealand-b:svealand,gotaland-b:gotaland",
		"listen.outbound": n.outbound, "listen.inbound": n.inbound, "listen.ready": n.ready, "listen.control": n.control,
		"platform.address": l.storeAddr, "platform.minTtl": "1000ms",
		"bounds.stabilityWindow": "3000ms", "bounds.grace": "6s", "bounds.configApply": "2000ms",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindow": "10s", "bounds.retryBudgetSlack": "60",
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// render fills in the settings template: values, the list of zones, and no section whose
// bound a small deployment lacks.
func render(template string, values map[string]string) (string, error) {
	const zones = "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}"
	template = strings.ReplaceAll(template, zones, values["regions"])
	for {
		start := strings.Index(template, "{{#")
		if start < 0 {
			break
		}
		name, rest, _ := strings.Cut(template[start+3:], "}}")
		end := "{{/" + name + "}}"
		body, after, found := strings.Cut(rest, end)
		if !found {
			return "", fmt.Errorf("section %s of the template has no end", name)
		}
		if values[name] == "" {
			body = ""
		}
		template = template[:start] + strings.ReplaceAll(body, "{{.}}", values[name]) + after
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	if i := strings.Index(template, "{{"); i >= 0 {
		return "", fmt.Errorf("the template holds %q, which the case does not fill in", template[i:min(len(template), i+40)])
	}
	return template, nil
}

// start starts the sidecar of a node.
func (l *lab) start(n *node) error {
	logFile, err := os.OpenFile(n.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	n.process = exec.Command(program)
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYLADDER_CONFIG=" + n.config}
	n.process.Stdout, n.process.Stderr = logFile, logFile
	if err := n.process.Start(); err != nil {
		return err
	}
	n.startedAt = time.Now()
	n.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan<- struct{}) {
		_ = process.Wait()
		close(exited)
	}(n.process, n.exited)
	return nil
}

// kill ends the sidecar of a node at once.
func (n *node) kill() { _ = n.process.Process.Signal(syscall.SIGKILL) }

// terminate asks the sidecar of a node to end.
func (n *node) terminate() { _ = n.process.Process.Signal(syscall.SIGTERM) }

// isReady asks a node whether it is ready.
func (l *lab) isReady(n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range l.nodes {
			if l.isReady(n) {
				ready++
			}
		}
		if ready == len(l.nodes) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d nodes are ready after %s", ready, len(l.nodes), timeout)
		}
	}
}

// configure writes a version of the configuration, as an operator does.
func (l *lab) configure(version int, routes string, services ...string) {
	list := make([]string, len(services))
	for i, s := range services {
		list[i] = fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}`, s)
	}
	l.store.State().Write("op/config", []byte(fmt.Sprintf(
		`{"version":"r%d","services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"virtualHosts":[{"host":"cubo38.example","pathMatches":[%s]}]}`,
		version, strings.Join(list, ","), routes)))
}

func main() {
	cases := map[string]func(*lab) (int, error){"11": leavingForgottenAtKill, "12": leavingOverwritten, "13": pipelinedBehindCutDownload, "14": crashesForgottenAtRelease, "15": crashesAfterCallersLeft}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		os.Exit(couldntRun)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldntRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		l.close()
		os.Exit(couldntRun)
	}()
	result, err := cases[os.Args[1]](l)
	if err != nil {
		l.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = couldntRun
	}
	l.close()
	os.Exit(result)
}
