package scenario

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// poisonInterval is the time between two attempts of a request that crashes
// backend servers.
const poisonInterval = 300 * time.Millisecond

// poison: poison COUNT SERVICE METHOD PATH BODY sends the same request COUNT
// times, each time to the next node. The last response must be the refusal of a
// quarantined call.
func (r *run) poison(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	code := ""
	for i := range count {
		host := r.fleet.Hosts[i%len(r.fleet.Hosts)]
		request, err := http.NewRequestWithContext(r.ctx, args[2], "http://"+host.CallAddress()+args[3], strings.NewReader(args[4]))
		ts.Check(err)
		request.Host = args[1]
		code = "no response"
		if response, err := http.DefaultClient.Do(request); err == nil {
			code = response.Header.Get("Rosemaryladder-Result")
			response.Body.Close()
		}
		ts.Logf("attempt %d at %s: result %s", i+1, host.Name, code)
		time.Sleep(poisonInterval)
	}
	if code != "56" {
		ts.Fatalf("the last attempt got result %q, want 56 (quarantined)", code)
	}
}

// serversLost: servers-lost MAX SERVICE fails if more than MAX backend servers of
// the service have exited.
func (r *run) serversLost(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	var lost []string
	for _, host := range r.fleet.Hosts {
		if host.Service.Name == args[1] && host.Server.Wait(time.Millisecond) {
			lost = append(lost, host.Name)
		}
	}
	if len(lost) > limit {
		ts.Fatalf("%d backend servers exited, want at most %d: %v", len(lost), limit, lost)
	}
}
