package platformscenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load sends requests to the ready hosts and checks each response.
type Load struct {
	deployment   *Deployment
	stop         chan struct{}
	group        sync.WaitGroup
	requestCount atomic.Int64

	mu sync.Mutex
	// Sent is the number of requests; Served, Refused and Failed count them by outcome.
	Sent, Served, Refused, Failed int
	// Violations describes the requests that broke an invariant, such as at-most-once
	// execution.
	Violations   []string
	postStatuses map[string]int
}

// sendPoison sends a request that crashes the backend server running it and returns
// the status of the response.
func (d *Deployment) sendPoison(host, number int) (int, error) {
	return d.sendSlowPoison(host, number, 0, 3*time.Second)
}

// sendSlowPoison sends a request that crashes the backend server some time after its start,
// and leaves when the response takes longer than patience.
func (d *Deployment) sendSlowPoison(host, number int, crashDelay, patience time.Duration) (int, error) {
	target := fmt.Sprintf("http://%s%s?after=%s", d.OutboundAddress(host), PoisonPath, crashDelay)
	request, err := http.NewRequest(http.MethodPost, target, strings.NewReader("poison"))
	if err != nil {
		return 0, err
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("poison-%d", number))
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "1500")
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// pipeliningCallers is the inverse of the share of callers that pipeline.
const pipeliningCallers = 3

// StartLoad starts the given number of callers. Each sends its requests one after
// the other, but for every third, which pipelines idempotent ones.
func (d *Deployment) StartLoad(callers int) *Load {
	l := &Load{deployment: d, stop: make(chan struct{}), postStatuses: make(map[string]int)}
	for i := range callers {
		if i%pipeliningCallers == pipeliningCallers-1 {
			l.group.Go(func() { l.runPipeliningCaller(i) })
			continue
		}
		l.group.Go(func() { l.runCaller(i) })
	}
	return l
}

// Stop stops the callers and checks how often each order ran.
func (l *Load) Stop() {
	close(l.stop)
	l.group.Wait()
	l.deployment.mu.Lock()
	l.Violations = append(l.Violations, l.deployment.identityErrors...)
	l.deployment.mu.Unlock()
	for id, status := range l.postStatuses {
		runs := l.deployment.Runs(id)
		if runs > 1 {
			l.Violations = append(l.Violations, fmt.Sprintf("order %s ran %d times", id, runs))
		}
		if promisesNotRun(status) && runs > 0 {
			l.Violations = append(l.Violations, fmt.Sprintf("order %s was refused as not run and ran", id))
		}
		if status == http.StatusOK && runs != 1 {
			l.Violations = append(l.Violations, fmt.Sprintf("order %s was answered and ran %d times", id, runs))
		}
	}
}

// runCaller sends the requests of one caller over a persistent connection.
func (l *Load) runCaller(caller int) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		hosts := len(l.deployment.hosts)
		number := (caller + i) % hosts
		if !l.deployment.Ready(number) {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		l.send(client, l.deployment.hosts[number].outboundAddress, i%2 == 0)
	}
}

func (l *Load) send(client *http.Client, outboundAddress string, atMostOnce bool) {
	id := fmt.Sprintf("%08x", l.requestCount.Add(1))
	method, path, body := http.MethodGet, "/get/x", ""
	if atMostOnce {
		method, path, body = http.MethodPost, "/post/x", "order "+id
	}
	request, err := http.NewRequest(method, "http://"+outboundAddress+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", id)
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "2500")
	l.deployment.setKey(request.Header)
	status, content := 0, ""
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		status, content = response.StatusCode, string(data)
	}
	l.record(id, atMostOnce, status, content, err)
}

func (l *Load) record(id string, atMostOnce bool, status int, content string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Sent++
	if atMostOnce {
		l.postStatuses[id] = status
	}
	switch {
	case err == nil && status == http.StatusOK:
		l.Served++
		if want := id + " " + Service + " "; !strings.HasPrefix(content, want) || (atMostOnce && content != want+"order "+id) {
			l.Violations = append(l.Violations, fmt.Sprintf("request %s got %q", id, content))
		}
	case err == nil && status == http.StatusServiceUnavailable:
		l.Refused++
	default:
		l.Failed++
	}
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
