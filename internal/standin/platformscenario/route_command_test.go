package platformscenario

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// routeBound is the time within which a version must be in force.
	routeBound = 3 * time.Second
	// routeStays is how long a route is watched for a return to an older version.
	routeStays = 2 * time.Second
)

// routeCommand: route NUMBER appears|stays HOST... waits until hosts have an extra
// route, or checks that they keep it.
func routeCommand(ts *testscript.TestScript, _ bool, args []string) {
	number, until := parseInt(ts, args[0]), time.Now().Add(routeBound)
	stays := args[1] == "stays"
	if stays {
		until = time.Now().Add(routeStays)
	}
	for {
		missing := ""
		for _, arg := range args[2:] {
			status, err := stateOf(ts).deployment.extraRouteStatus(parseInt(ts, arg), number)
			ts.Check(err)
			// A refusal doesn't say which version is in force.
			if status == http.StatusNotFound || (!stays && status == http.StatusServiceUnavailable) {
				missing = fmt.Sprintf("host %s responds with %d to the extra route %d", arg, status, number)
			}
		}
		switch expired := time.Now().After(until); {
		case missing == "" && (!stays || expired):
			return
		case missing != "" && (stays || expired):
			logLines(ts, "configuration", "restored")
			ts.Fatalf("%s", missing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// extraRouteStatus returns the status of a host's response on an extra route.
func (d *Deployment) extraRouteStatus(host, number int) (int, error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/more-%d/x", d.OutboundAddress(host), number), nil)
	if err != nil {
		return 0, err
	}
	request.Host = "orders.example"
	request.Header.Set("X-Rosemaryladder-Request-Id", fmt.Sprintf("route-%d-%d", host, time.Now().UnixNano()))
	request.Header.Set("X-Rosemaryladder-Deadline-Ms", "1000")
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
