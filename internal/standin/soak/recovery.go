package soak

import (
	"fmt"
	"net/http"
	"time"
)

// checkRecovery records a violation if a host does not serve the newest version of the
// configuration within recoveryTimeout after the last fault.
func (r *runner) checkRecovery() {
	version := r.configure()
	deadline := time.Now().Add(recoveryTimeout)
	if !r.allReady(recoveryTimeout) {
		r.recordViolation("a host was not ready %s after the last fault", recoveryTimeout)
	}
	client := &http.Client{Timeout: time.Second}
	for i := range r.hostLocks {
		for attempt := 0; ; attempt++ {
			status, err := r.probe(client, i, version, attempt)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				r.recordViolation("host %d does not serve version %d %s after the last fault: status %d, error %v", i, version, recoveryTimeout, status, err)
				break
			}
			time.Sleep(pollInterval)
		}
	}
}

// probe sends a request on the route that only this version has and returns the status
// of the response.
func (r *runner) probe(client *http.Client, host, version, attempt int) (int, error) {
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
