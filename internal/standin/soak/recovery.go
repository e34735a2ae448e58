package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// checkRecovery records a violation for each host that is not ready or does not serve
// the newest version of the configuration within recoveryTimeout after the last fault.
func (r *runner) checkRecovery() {
	version := r.configure()
	client := &http.Client{Timeout: time.Second}
	failures := awaitHosts(len(r.hostLocks), time.Now().Add(recoveryTimeout), func(host, attempt int) error {
		if !r.deployment.Ready(host) {
			return errors.New("not ready")
		}
		return r.probe(client, host, version, attempt)
	})
	for host, err := range failures {
		r.recordViolation("host %d does not serve version %d %s after the last fault: %v", host, version, recoveryTimeout, err)
	}
}

// probe sends a request on the route that only this version has and returns an error
// unless the response has status 200.
func (r *runner) probe(client *http.Client, host, version, attempt int) error {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/more-%d/x", r.deployment.OutboundAddress(host), version-1), nil)
	if err != nil {
		return err
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("check-%d-%d-%d", host, version, attempt))
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "1000")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return nil
}
