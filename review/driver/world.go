//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"rosemaryladder.dev/rosemaryladder/internal/standin/ports"
	"rosemaryladder.dev/rosemaryladder/internal/standin/store"
)

// program is the command of deploy/system.toml.
const program = "target/rosemaryladder-sidecar"

// host is one machine: a sidecar process and the instance beside it.
type host struct {
	name, ip, service                             string
	front, gate, ready, announce, metrics, server string
	settings, logFile                             string
	process                                       *exec.Cmd
	exited                                        chan struct{}
	instance                                      *instance
}

// world is a small deployment on loopback addresses.
type world struct {
	folder, temp string
	store        *store.Server
	storeAddress string
	hosts        []*host
	grace        time.Duration

	mu      sync.Mutex
	record  *os.File
	started time.Time
}

func newWorld(folder string) (*world, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, temp: temp, record: record, started: time.Now(), store: store.NewServer(1), grace: 6 * time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store) }()
	return w, nil
}

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes the operator's configuration.
func (w *world) configure(version int, services []string, routes string) {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":120,"protocol":"h1","tls":false}`, s))
	}
	text := fmt.Sprintf(`{"version":"r%d","services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"virtualHosts":[{"host":"shop.example","pathMatches":[%s]}]}`,
		version, strings.Join(list, ","), routes)
	w.store.State().Write("op/config", []byte(text))
	w.note("operator: configuration r%d is acknowledged", version)
}

func route(name, prefix, kind, service string, timeout, target time.Duration) string {
	return fmt.Sprintf(`{"name":%q,"prefix":%q,"kind":%q,"timeout":"%dms","targetLatency":"%dms","priority":1,"service":%q,"maxAttempts":2}`,
		name, prefix, kind, timeout.Milliseconds(), target.Milliseconds(), service)
}

// addHost adds a machine; its sidecar is started by startNode.
func (w *world) addHost(service, zone string) (*host, error) {
	n := len(w.hosts) + 1
	h := &host{name: fmt.Sprintf("sidecar-%d", n), service: service, ip: fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%180, os.Getpid()/180%250, n)}
	picked, err := ports.Pick(h.ip, 6)
	if err != nil {
		return nil, err
	}
	address := func(i int) string { return net.JoinHostPort(h.ip, strconv.Itoa(picked[i])) }
	h.front, h.gate, h.ready, h.announce, h.server, h.metrics = address(0), address(1), address(2), address(3), address(4), strconv.Itoa(picked[5])
	h.settings, h.logFile = filepath.Join(w.temp, h.name+".ini"), filepath.Join(w.temp, h.name+".log")
	// The keys are those of deploy/settings.ini, the bounds those of dalhem-mesh.
	text := fmt.Sprintf(`[node]
host = %s
ip = %s
failure_domain = %s
regions = svealand-a:svealand,svealand-b:svealand
service = %s
server = %s
link_mbps = 1000

[listen]
front = %s
gate = %s
ready = %s
announce = %s
metrics = %s

[callers]
idle_limit_notice = 2000ms

[store]
address = %s
min_lease = 1000ms

[bounds]
settle = 3000ms
grace = %dms
retry_ratio = 0.2
retry_window = 10s
retry_slack = 60

[log]
format = json
level = info
`, h.name, h.ip, zone, service, h.server, h.front, h.gate, h.ready, h.announce, h.metrics, w.storeAddress, w.grace.Milliseconds())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, nil
}

// startNode starts the sidecar of a machine.
func (w *world) startNode(h *host) error {
	logFile, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	h.process = exec.Command(program)
	h.process.Env = append(os.Environ(), "ROSEMARYLADDER_CONFIG="+h.settings)
	h.process.Stdout, h.process.Stderr = logFile, logFile
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(p *exec.Cmd, exited chan<- struct{}) {
		_ = p.Wait()
		close(exited)
	}(h.process, h.exited)
	w.note("%s starts (service %s)", h.name, h.service)
	return nil
}

// awaitReady waits until all sidecars answer their readiness checks with 200.
func (w *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			response, err := client.Get("http://" + h.ready + "/api/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.hosts) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d sidecars are ready", ready, len(w.hosts))
		}
	}
}

// awaitServers waits until a request of a route is answered with 200 at each host.
func (w *world) awaitServed(path string, limit time.Duration) error {
	for _, h := range w.hosts {
		for deadline := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
			answer := w.send(h, request{method: http.MethodGet, path: path, deadline: 2 * time.Second})
			if answer.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves nothing: status %d, %v", h.name, answer.status, answer.err)
			}
		}
	}
	return nil
}

// close ends every process that the world has started.
func (w *world) close() {
	for _, h := range w.hosts {
		if h.process != nil && h.process.Process != nil {
			_ = h.process.Process.Kill()
			<-h.exited
		}
		if h.instance != nil {
			h.instance.stop()
		}
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.temp)
}

// request is one attempt of a requester.
type request struct {
	id, method, path string
	body             []byte
	chunked          bool
	deadline         time.Duration
}

type answer struct {
	status    int
	signature string
	body      []byte
	err       error
}

var (
	lastID   int
	lastIDMu sync.Mutex
)

func newID() string {
	lastIDMu.Lock()
	defer lastIDMu.Unlock()
	lastID++
	return fmt.Sprintf("%08x%08x", os.Getpid(), lastID)
}

// send sends a request on a new connection to the outbound address of a machine.
func (w *world) send(h *host, r request) answer {
	if r.id == "" {
		r.id = newID()
	}
	client := &http.Client{Timeout: r.deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
		if r.chunked {
			// The type hides the length, so that the body is sent in chunks.
			body = struct{ io.Reader }{body}
		}
	}
	out, err := http.NewRequest(r.method, "http://"+h.front+r.path, body)
	if err != nil {
		return answer{err: err}
	}
	out.Host = "shop.example"
	out.Header.Set("X-Rosemaryladder-Request-Id", r.id)
	out.Header.Set("X-Rosemaryladder-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	response, err := client.Do(out)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signature: response.Header.Get("X-Rosemaryladder-Response-Signature"), body: data, err: err}
}

// post sends a JSON body to an address.
func post(method, url string, body any, timeout time.Duration) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	out, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	out.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(out)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
