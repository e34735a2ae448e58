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

// Load sends requests to the ready hosts and judges each answer.
type Load struct {
	deployment *Deployment
	stop       chan struct{}
	group      sync.WaitGroup
	number     atomic.Int64

	mu sync.Mutex
	// Sent, Served, Refused and Failed count requests by their end.
	Sent, Served, Refused, Failed int
	// Violations holds what no request may show.
	Violations []string
	posts      map[string]int
}

// sendPoison sends a request that ends the server which runs it.
func (d *Deployment) sendPoison(host, number int) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.OutboundAddress(host)+PoisonPath, strings.NewReader("poison"))
	if err != nil {
		return 0, err
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("poison-%d", number))
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "1500")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// StartLoad starts callers, each of which sends one request after the other.
func (d *Deployment) StartLoad(callers int) *Load {
	l := &Load{deployment: d, stop: make(chan struct{}), posts: make(map[string]int)}
	for i := range callers {
		l.group.Go(func() { l.call(i) })
	}
	return l
}

// Stop ends the callers and checks the runs of all requests.
func (l *Load) Stop() {
	close(l.stop)
	l.group.Wait()
	for id, status := range l.posts {
		runs := l.deployment.Runs(id)
		if runs > 1 {
			l.Violations = append(l.Violations, fmt.Sprintf("order %s ran %d times", id, runs))
		}
		if status == http.StatusServiceUnavailable && runs > 0 {
			l.Violations = append(l.Violations, fmt.Sprintf("order %s was refused as not run and ran", id))
		}
		if status == http.StatusOK && runs != 1 {
			l.Violations = append(l.Violations, fmt.Sprintf("order %s was answered and ran %d times", id, runs))
		}
	}
}

// call sends requests from one caller, which keeps its connection.
func (l *Load) call(caller int) {
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
		l.send(client, l.deployment.hosts[number].front, i%2 == 0)
	}
}

func (l *Load) send(client *http.Client, front string, once bool) {
	id := fmt.Sprintf("%08x", l.number.Add(1))
	method, path, body := http.MethodGet, "/get/x", ""
	if once {
		method, path, body = http.MethodPost, "/post/x", "order "+id
	}
	request, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", id)
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "2500")
	status, content := 0, ""
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		status, content = response.StatusCode, string(data)
	}
	l.judge(id, once, status, content, err)
}

func (l *Load) judge(id string, once bool, status int, content string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Sent++
	if once {
		l.posts[id] = status
	}
	switch {
	case err == nil && status == http.StatusOK:
		l.Served++
		if want := id + " " + Service + " "; !strings.HasPrefix(content, want) || (once && content != want+"order "+id) {
			l.Violations = append(l.Violations, fmt.Sprintf("request %s got %q", id, content))
		}
	case err == nil && status == http.StatusServiceUnavailable:
		l.Refused++
	default:
		l.Failed++
	}
}
