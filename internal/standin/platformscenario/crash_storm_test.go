package platformscenario

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// crashBlockTime is the time after the third crash from which on repeats of the
	// request that causes them are limited: the settling time of the platform.
	crashBlockTime = 3 * time.Second
	// crashRepeats is how many repeats may reach a server after that time.
	crashRepeats = 3
	// quickRestartDelay is the time from the end of a server to its restart.
	quickRestartDelay = 300 * time.Millisecond
	// stormDuration is how long the callers repeat the request.
	stormDuration = 9 * time.Second
)

// TestRepeatsOfCrashingRequestStop guards against a request that goes on to crash servers
// because several callers repeat it faster than one crash a second, whether the servers are
// back at once or, as in the users' record, all together after some seconds.
func TestRepeatsOfCrashingRequestStop(t *testing.T) {
	for _, restartDelay := range []time.Duration{quickRestartDelay, 3500 * time.Millisecond} {
		t.Run(restartDelay.String(), func(t *testing.T) {
			repeatCrashingRequest(t, restartDelay, 5, (*Deployment).sendPoison)
		})
	}
}

// TestRepeatsOfAbandonedCrashingRequestStop guards against a request that goes on to crash
// servers because its caller leaves before the server that runs it crashes.
func TestRepeatsOfAbandonedCrashingRequestStop(t *testing.T) {
	repeatCrashingRequest(t, quickRestartDelay, 1, func(d *Deployment, host, number int) (int, error) {
		return d.sendSlowPoison(host, number, 300*time.Millisecond, 150*time.Millisecond)
	})
}

func repeatCrashingRequest(t *testing.T, restartDelay time.Duration, callers int, send func(d *Deployment, host, number int) (int, error)) {
	g := gomega.NewWithT(t)
	const hosts = 8
	d := startReady(t, hosts)
	load := d.StartLoad(6)
	restarts := startRestarts(d, restartDelay)
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var refused atomic.Int64
	started := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := 0; time.Since(started) < stormDuration; i++ {
				number := caller*1000 + i
				mu.Lock()
				sentAt[fmt.Sprintf("poison-%d", number)] = time.Now()
				mu.Unlock()
				status, err := send(d, caller, number)
				if err == nil && status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	restarts.stop()
	load.Stop()
	third, crashes := restarts.thirdAt(), restarts.count()
	late := 0
	for id, at := range sentAt {
		if at.Sub(third) > crashBlockTime {
			late += d.Runs(id)
		}
	}
	t.Logf("%d crashes, %d repeats reached a server later than %s after the third; load: sent %d, served %d, refused %d, failed %d",
		crashes, late, crashBlockTime, load.Sent, load.Served, load.Refused, load.Failed)
	g.Expect(crashes).To(gomega.BeNumerically(">=", 3))
	g.Expect(refused.Load()).To(gomega.BeNumerically(">", 0))
	g.Expect(late).To(gomega.BeNumerically("<=", crashRepeats))
	g.Expect(load.Violations).To(gomega.BeEmpty())
}

// TestFrequentRequestIsNotRefusedAfterCommonEnds guards against the refusal of a lookup
// that many callers repeat, because half of the servers end together again and again while
// they run it.
func TestFrequentRequestIsNotRefusedAfterCommonEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	const hosts, callers, rounds = 8, 12, 6
	d := startReady(t, hosts)
	var sent, refused, quarantined atomic.Int64
	var stopped atomic.Bool
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second}
			for i := 0; !stopped.Load(); i++ {
				request, err := http.NewRequest(http.MethodGet, "http://"+d.OutboundAddress(caller%hosts)+"/get/frequent", nil)
				if err != nil {
					panic(err)
				}
				request.Host = "orders.example"
				request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("frequent-%d-%d", caller, i))
				request.Header.Set("X-Rosemaryladder-Deadline-Ms", "2000")
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				sent.Add(1)
				// The body says why; it can't be read only when the connection ends.
				body, _ := io.ReadAll(response.Body)
				response.Body.Close()
				if response.StatusCode == http.StatusServiceUnavailable {
					refused.Add(1)
					if string(body) == "requests with this content have crashed several servers\n" {
						quarantined.Add(1)
					}
				}
			}
		})
	}
	for range rounds {
		time.Sleep(500 * time.Millisecond)
		for i := range hosts / 2 {
			d.StopApp(i)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(quickRestartDelay)
		for i := range hosts / 2 {
			g.Expect(d.StartApp(i)).To(gomega.Succeed())
		}
	}
	time.Sleep(2 * time.Second)
	stopped.Store(true)
	group.Wait()
	t.Logf("%d responses, %d refusals, %d of them for their content", sent.Load(), refused.Load(), quarantined.Load())
	g.Expect(sent.Load()).To(gomega.BeNumerically(">", 100))
	g.Expect(quarantined.Load()).To(gomega.BeZero())
}

// startReady starts a deployment and waits until all its hosts take requests.
func startReady(t *testing.T, hosts int) *Deployment {
	g := gomega.NewWithT(t)
	d, err := Start(program, t.TempDir(), hosts)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(d.Close)
	d.Configure(1, 0)
	for i := range hosts {
		g.Eventually(func() bool { return d.Ready(i) }).WithTimeout(15 * time.Second).Should(gomega.BeTrue())
	}
	// A node is ready before the check-ins of all servers have reached it.
	time.Sleep(time.Second)
	return d
}

// restarts starts crashed servers again after a delay and records when each was found crashed.
type restarts struct {
	delay   time.Duration
	stopped chan struct{}
	done    sync.WaitGroup
	mu      sync.Mutex
	crashes []time.Time
}

func startRestarts(d *Deployment, delay time.Duration) *restarts {
	r := &restarts{delay: delay, stopped: make(chan struct{})}
	r.done.Go(func() { r.run(d) })
	return r
}

func (r *restarts) run(d *Deployment) {
	dueAt := make(map[int]time.Time)
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, number := range d.Crashed() {
			due, found := dueAt[number]
			switch {
			case !found:
				r.mu.Lock()
				r.crashes = append(r.crashes, time.Now())
				r.mu.Unlock()
				dueAt[number] = time.Now().Add(r.delay)
			case time.Now().After(due):
				delete(dueAt, number)
				if err := d.StartApp(number); err != nil {
					panic(err)
				}
			}
		}
	}
}

func (r *restarts) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.crashes)
}

func (r *restarts) thirdAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes[2]
}

func (r *restarts) stop() {
	close(r.stopped)
	r.done.Wait()
}
