package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checkRecovery fails when a host does not serve the newest version again in time
// after the last fault.
func (r *runner) checkRecovery() {
	version := r.configure()
	deadline := time.Now().Add(recoverTime)
	if !r.allReady(recoverTime) {
		r.broken("a host was not ready %s after the last fault", recoverTime)
	}
	client := &http.Client{Timeout: time.Second}
	for i := range r.hosts {
		for attempt := 0; ; attempt++ {
			status, err := r.ask(client, i, version, attempt)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				r.broken("host %d does not serve version %d %s after the last fault: status %d, error %v", i, version, recoverTime, status, err)
				break
			}
			time.Sleep(poll)
		}
	}
}

// ask sends a request on the route that only the version has.
func (r *runner) ask(client *http.Client, host, version, attempt int) (int, error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/more-%d/x", r.deployment.OutboundAddress(host), version-1), nil)
	if err != nil {
		return 0, err
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("check-%d-%d-%d", host, version, attempt))
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "1000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
